package shalepaddle.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import shalepaddle.membership.MemberList;
import shalepaddle.model.Settings;
import shalepaddle.settings.FormatException;
import shalepaddle.settings.JsonObject;
import shalepaddle.settings.SettingsFormat;
import shalepaddle.settings.SettingsUpdateValidator;

/**
 * The platform's configuration of a node, from the file that {@code ROUTER_CONFIG} names.
 * Immutable.
 *
 * @param listen the address for clients
 * @param adminAddress the address for the admin server, null for none
 * @param discovery the address of the discovery service
 * @param seed for random numbers
 * @param maxDescriptors file descriptors that the process may hold
 * @param memoryMb memory that the process may hold, in MiB
 * @param cores processor time that the process may use, in cores
 * @param knownMembers the list of servers that this node knew last
 * @param settings the settings of the decisions, in the form that the simulator has as well
 */
public record NodeConfig(
    InetSocketAddress listen,
    InetSocketAddress adminAddress,
    InetSocketAddress discovery,
    long seed,
    int maxDescriptors,
    int memoryMb,
    double cores,
    MemberList knownMembers,
    Settings settings) {

  /**
   * Reads and checks the file of this name.
   *
   * @throws FormatException names the file, and what is wrong with it
   */
  public static NodeConfig load(String file) throws FormatException {
    return read(file, readJson(file));
  }

  /**
   * Checks the content of the file of this name, as {@link #readJson} returned it.
   *
   * @throws FormatException names the file, and what is wrong with it
   */
  public static NodeConfig read(String file, JsonObject content) throws FormatException {
    try {
      return parse(content);
    } catch (FormatException e) {
      throw inFile(file, e);
    }
  }

  /**
   * Reads and checks the file as it is now, for a node that runs.
   *
   * @param startupContent what the file contained when the node started: each of its keys is needed
   * @throws FormatException names the file, and what is wrong with it
   */
  public static NodeConfig reload(String file, JsonObject startupContent) throws FormatException {
    JsonObject next = readJson(file);
    try {
      SettingsUpdateValidator.check(startupContent, next);
    } catch (FormatException e) {
      throw inFile(file, e);
    }
    return read(file, next);
  }

  /**
   * Reads the file of this name, and checks only that it is JSON.
   *
   * @throws FormatException names the file, and what is wrong with it
   */
  public static JsonObject readJson(String file) throws FormatException {
    if (file == null || file.isEmpty()) {
      throw new FormatException("ROUTER_CONFIG does not name a file");
    }
    try {
      return JsonObject.parse(Files.readString(Path.of(file)));
    } catch (IOException | InvalidPathException e) {
      throw new FormatException("cannot read " + file);
    } catch (FormatException e) {
      throw inFile(file, e);
    }
  }

  private static FormatException inFile(String file, FormatException e) {
    return new FormatException(file + ": " + e.getMessage());
  }

  /** A configuration for a start without a platform: local addresses, and no discovery service. */
  public static NodeConfig rehearsal() throws FormatException {
    return parse(
        JsonObject.parse(
            """
            {"listen":"127.0.0.1:0","management":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1",
             "limits":{"sockets":256,"memory_mb":128},
             "known":{"version":1,"full":true,"servers":[]},
             "settings":{"discovery":"ask",
              "caps":{"attempts-cap":2,"cancel":true,"parallel-tries":true,"multiplex":32,
                      "connect-timeout":0.15,"conn-idle":60},
              "contract":{"ask-within":10,"drain-grace":2,"cold-from":0.1,"warm-within":1},
              "services":[{"name":"read","effect":"retryable","slo":0.75,"give-up":2},
                          {"name":"write","effect":"fragile","slo":0.3,"give-up":2}]}}
            """));
  }

  /**
   * Checks a configuration's content.
   *
   * @throws FormatException if a key is missing or has a wrong value
   */
  public static NodeConfig parse(JsonObject config) throws FormatException {
    JsonObject limits = config.requiredNested("limits");
    Settings settings = SettingsFormat.read(config.requiredNested("settings"));
    if (settings.services().isEmpty()) {
      throw new FormatException("settings without services");
    }
    return new NodeConfig(
        MemberList.parseAddress(config.requiredText("listen")),
        adminAddress(config),
        MemberList.parseAddress(config.requiredText("discovery")),
        seed(config.requiredText("seed")),
        (int) limits.requiredNumber("sockets"),
        (int) limits.requiredNumber("memory_mb"),
        limits.number("cores", 1),
        MemberList.parse(config.requiredNested("known")),
        settings);
  }

  private static InetSocketAddress adminAddress(JsonObject config) throws FormatException {
    return config.has("management")
        ? MemberList.parseAddress(config.requiredText("management"))
        : null;
  }

  /** The same with this list of servers as the known one. */
  public NodeConfig withKnownMembers(MemberList list) {
    return new NodeConfig(
        listen, adminAddress, discovery, seed, maxDescriptors, memoryMb, cores, list, settings);
  }

  /** The same with other settings. */
  public NodeConfig withSettings(Settings next) {
    return new NodeConfig(
        listen, adminAddress, discovery, seed, maxDescriptors, memoryMb, cores, knownMembers, next);
  }

  /**
   * The same with this address for the admin server, which the environment gives one process: it
   * takes precedence over the file's, which is for the node. Null or empty changes nothing.
   *
   * @throws FormatException if that is not an IP address and port
   */
  public NodeConfig withAdminAddress(String address) throws FormatException {
    if (address == null || address.isEmpty()) {
      return this;
    }
    return new NodeConfig(
        listen,
        MemberList.parseAddress(address),
        discovery,
        seed,
        maxDescriptors,
        memoryMb,
        cores,
        knownMembers,
        settings);
  }

  private static long seed(String text) throws FormatException {
    try {
      return Long.parseUnsignedLong(text, 16);
    } catch (NumberFormatException e) {
      throw new FormatException("seed '" + text + "' is not hexadecimal");
    }
  }

  /** The longest deadline of the service classes, in seconds. */
  public double longestDeadlineSeconds() {
    return settings.services().stream()
        .mapToDouble(Settings.ServiceClass::deadlineSeconds)
        .max()
        .orElseThrow();
  }
}
