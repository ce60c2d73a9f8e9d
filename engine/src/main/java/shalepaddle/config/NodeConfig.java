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
import shalepaddle.settings.Retuning;
import shalepaddle.settings.SettingsFormat;

/**
 * What the platform tells a node.
 *
 * @param listen where clients connect
 * @param adminAddress where operators call, null for nowhere
 * @param discovery where the list of servers is
 * @param seed for random numbers
 * @param maxDescriptors file descriptors that the process may hold
 * @param memoryMb memory that the process may hold
 * @param cores processor time that the process may use, in cores
 * @param knownMembers the list of servers as this node last had it
 * @param settings the object that an instance in the simulator is told
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

  /** Reads the file of this name, usually from {@code ROUTER_CONFIG}. */
  public static NodeConfig load(String file) throws FormatException {
    return read(file, readJson(file));
  }

  /** Reads what the file of this name says, as {@link #readJson} has it. */
  public static NodeConfig read(String file, JsonObject text) throws FormatException {
    try {
      return parse(text);
    } catch (FormatException e) {
      throw in(file, e);
    }
  }

  /**
   * Reads the file as it is now, for a node that runs: whole, or not at all.
   *
   * @param shape what the file said when the node started: each of its keys is still needed
   */
  public static NodeConfig reload(String file, JsonObject shape) throws FormatException {
    JsonObject next = readJson(file);
    try {
      Retuning.check(shape, next);
    } catch (FormatException e) {
      throw in(file, e);
    }
    return read(file, next);
  }

  /** What the file of this name says, as far as it is JSON. */
  public static JsonObject readJson(String file) throws FormatException {
    if (file == null || file.isEmpty()) {
      throw new FormatException("ROUTER_CONFIG does not name a file");
    }
    try {
      return JsonObject.parse(Files.readString(Path.of(file)));
    } catch (IOException | InvalidPathException e) {
      throw new FormatException("cannot read " + file);
    } catch (FormatException e) {
      throw in(file, e);
    }
  }

  private static FormatException in(String file, FormatException e) {
    return new FormatException(file + ": " + e.getMessage());
  }

  /** A configuration that keeps to this machine, and names a discovery that nobody runs. */
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

  /** Reads a configuration in the form that the platform gives it. */
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

  /** The same, where this is known of the list of servers. */
  public NodeConfig withKnownMembers(MemberList list) {
    return new NodeConfig(
        listen, adminAddress, discovery, seed, maxDescriptors, memoryMb, cores, list, settings);
  }

  /** The same, with other settings. */
  public NodeConfig withSettings(Settings next) {
    return new NodeConfig(
        listen, adminAddress, discovery, seed, maxDescriptors, memoryMb, cores, knownMembers, next);
  }

  /**
   * The same, where operators call at the address that the environment names for this one process:
   * it goes before what the file says of the node. Null or empty leaves all as it is.
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

  /** The longest time that a client may wait, in seconds. */
  public double longestDeadlineSeconds() {
    return settings.services().stream()
        .mapToDouble(Settings.ServiceClass::deadlineSeconds)
        .max()
        .orElseThrow();
  }
}
