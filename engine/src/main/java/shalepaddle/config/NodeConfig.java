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
 * @param listenAddress the listen address for clients
 * @param adminAddress the listen address of the admin server, null for none
 * @param discoveryAddress the address of the discovery service
 * @param seed the seed of random numbers
 * @param maxDescriptors the number of file descriptors that the process may open
 * @param memoryMb the memory that the process may use, in MiB
 * @param cores the number of cores that the process may use
 * @param knownMembers the endpoint list that this node knew last
 * @param settings the settings of the policy, in the same format as for the simulator
 */
public record NodeConfig(
    InetSocketAddress listenAddress,
    InetSocketAddress adminAddress,
    InetSocketAddress discoveryAddress,
    long seed,
    int maxDescriptors,
    int memoryMb,
    double cores,
    MemberList knownMembers,
    Settings settings) {

  /**
   * Reads and validates a file.
   *
   * @throws FormatException if the file cannot be used; the message names the file and the problem
   */
  public static NodeConfig load(String file) throws FormatException {
    return read(file, readJson(file));
  }

  /**
   * Validates the content of a file, as returned by {@link #readJson}.
   *
   * @throws FormatException if the file cannot be used; the message names the file and the problem
   */
  public static NodeConfig read(String file, JsonObject content) throws FormatException {
    try {
      return parse(content);
    } catch (FormatException e) {
      throw withFileName(file, e);
    }
  }

  /**
   * Reads and validates the current content of a file, for a running node.
   *
   * @param startupContent the file's content when the node started; the new content must have all
   *     keys of the content at startup
   * @throws FormatException if the file cannot be used; the message names the file and the problem
   */
  public static NodeConfig reload(String file, JsonObject startupContent) throws FormatException {
    JsonObject newContent = readJson(file);
    try {
      SettingsUpdateValidator.check(startupContent, newContent);
    } catch (FormatException e) {
      throw withFileName(file, e);
    }
    return read(file, newContent);
  }

  /**
   * Reads a file, and checks only that it is a JSON object.
   *
   * @throws FormatException if the file cannot be used; the message names the file and the problem
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
      throw withFileName(file, e);
    }
  }

  private static FormatException withFileName(String file, FormatException e) {
    return new FormatException(file + ": " + e.getMessage());
  }

  /** A configuration for a start without a platform: local addresses and no discovery service. */
  public static NodeConfig forRehearsal() throws FormatException {
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
   * Validates the content of a configuration.
   *
   * @throws FormatException if a key is missing or has an invalid value
   */
  public static NodeConfig parse(JsonObject config) throws FormatException {
    JsonObject limits = config.requiredNested("limits");
    Settings settings = SettingsFormat.read(config.requiredNested("settings"));
    if (settings.services().isEmpty()) {
      throw new FormatException("settings.services is missing or empty");
    }
    return new NodeConfig(
        MemberList.parseAddress(config.requiredText("listen")),
        readAdminAddress(config),
        MemberList.parseAddress(config.requiredText("discovery")),
        parseSeed(config.requiredText("seed")),
        (int) limits.requiredNumber("sockets"),
        (int) limits.requiredNumber("memory_mb"),
        limits.number("cores", 1),
        MemberList.parse(config.requiredNested("known")),
        settings);
  }

  private static InetSocketAddress readAdminAddress(JsonObject config) throws FormatException {
    return config.has("management")
        ? MemberList.parseAddress(config.requiredText("management"))
        : null;
  }

  /** This configuration with another known endpoint list. */
  public NodeConfig withKnownMembers(MemberList list) {
    return new NodeConfig(
        listenAddress,
        adminAddress,
        discoveryAddress,
        seed,
        maxDescriptors,
        memoryMb,
        cores,
        list,
        settings);
  }

  /** This configuration with other settings. */
  public NodeConfig withSettings(Settings newSettings) {
    return new NodeConfig(
        listenAddress,
        adminAddress,
        discoveryAddress,
        seed,
        maxDescriptors,
        memoryMb,
        cores,
        knownMembers,
        newSettings);
  }

  /**
   * This configuration with another address of the admin server, from the environment of a single
   * process. The address takes precedence over the one in the file, which is shared by all
   * processes of the node. A null or empty text changes nothing.
   *
   * @throws FormatException if the text is not an IP address and port
   */
  public NodeConfig withAdminAddress(String address) throws FormatException {
    if (address == null || address.isEmpty()) {
      return this;
    }
    return new NodeConfig(
        listenAddress,
        MemberList.parseAddress(address),
        discoveryAddress,
        seed,
        maxDescriptors,
        memoryMb,
        cores,
        knownMembers,
        settings);
  }

  private static long parseSeed(String text) throws FormatException {
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
