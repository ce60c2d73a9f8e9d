package shalepaddle.daemon;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static java.util.Map.entry;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks the allowed dependencies between packages against the byte code. */
class ArchitectureTest {
  private static final JavaClasses PRODUCTION_CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("shalepaddle");

  /** Packages that hold logic and data only: no sockets, threads, files or clocks. */
  private static final String[] LOGIC_PACKAGES = {
    "shalepaddle.model..",
    "shalepaddle.policy..",
    "shalepaddle.overload..",
    "shalepaddle.coalescing..",
    "shalepaddle.replicatedstate..",
    "shalepaddle.changefeed.."
  };

  private static final String[] LOGIC_PACKAGES_AND_JDK =
      Stream.concat(
              Arrays.stream(LOGIC_PACKAGES),
              Stream.of(
                  "java.lang",
                  "java.lang.invoke",
                  "java.lang.runtime",
                  "java.util",
                  "java.util.function",
                  "java.util.stream",
                  "java.nio.charset"))
          .toArray(String[]::new);

  @Test
  void logicPackagesUseNoSocketsThreadsOrFiles() {
    classes()
        .that()
        .resideInAnyPackage(LOGIC_PACKAGES)
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(LOGIC_PACKAGES_AND_JDK)
        .check(PRODUCTION_CLASSES);
  }

  /**
   * The warm-up runs during the startup, when the platform may not provide sockets, files or ports
   * yet. A warm-up that needs them would delay the startup until the platform provides them.
   */
  @Test
  void warmupOpensNoSocketAndNoFile() {
    noClasses()
        .that()
        .haveNameMatching("shalepaddle\\.node\\.Warmup.*")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("java.net", "java.nio.file", "io.netty.channel.socket..")
        .check(PRODUCTION_CLASSES);
  }

  @Test
  void logicPackagesReadNoSystemClock() {
    for (String clock : new String[] {"nanoTime", "currentTimeMillis"}) {
      noClasses()
          .that()
          .resideInAnyPackage(LOGIC_PACKAGES)
          .should()
          .callMethod(System.class, clock)
          .check(PRODUCTION_CLASSES);
    }
  }

  @Test
  void simulatorAdapterAndSettingsUseNoNetwork() {
    noClasses()
        .that()
        .resideInAnyPackage("shalepaddle.sim..", "shalepaddle.settings..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "io.netty..",
            "java.net..",
            "shalepaddle.node..",
            "shalepaddle.engine..",
            "shalepaddle.front..",
            "shalepaddle.upstream..",
            "shalepaddle.membership..",
            "shalepaddle.codec..",
            "shalepaddle.config..")
        .check(PRODUCTION_CLASSES);
  }

  @Test
  void enginePackagesUseNeitherSimulatorNorCommandLine() {
    noClasses()
        .that()
        .resideInAnyPackage(
            "shalepaddle.node..",
            "shalepaddle.engine..",
            "shalepaddle.front..",
            "shalepaddle.upstream..",
            "shalepaddle.membership..",
            "shalepaddle.codec..",
            "shalepaddle.config..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("shalepaddle.sim..", "shalepaddle.daemon..")
        .check(PRODUCTION_CLASSES);
  }

  /** The packages of the engine, and the other packages on which each may depend. */
  private static final Map<String, List<String>> ALLOWED_DEPENDENCIES =
      Map.ofEntries(
          entry("loop", List.of("sockets")),
          entry("sockets", List.of()),
          entry("membership", List.of("loop", "model", "settings", "sockets")),
          entry("config", List.of("coalescing", "membership", "model", "overload", "settings")),
          entry("diagnostics", List.of()),
          entry(
              "engine",
              List.of(
                  "diagnostics",
                  "coalescing",
                  "loop",
                  "membership",
                  "model",
                  "overload",
                  "policy")),
          entry("admin", List.of("diagnostics", "engine", "sockets")),
          entry("hotrestart", List.of("membership", "model", "settings")),
          entry("upstream", List.of("engine", "loop", "membership", "model", "sockets")),
          entry("front", List.of("diagnostics", "engine", "loop", "model", "overload", "sockets")),
          entry("codec", List.of("engine", "front", "upstream", "model")));

  @Test
  void enginePackagesUseOnlyAllowedPackages() {
    List<String> allPackages =
        List.of(
            "model",
            "policy",
            "overload",
            "coalescing",
            "settings",
            "sim",
            "daemon",
            "node",
            "admin",
            "diagnostics",
            "hotrestart",
            "loop",
            "sockets",
            "membership",
            "config",
            "engine",
            "upstream",
            "front",
            "codec");
    ALLOWED_DEPENDENCIES.forEach(
        (name, allowed) ->
            noClasses()
                .that()
                .resideInAPackage("shalepaddle." + name + "..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                    allPackages.stream()
                        .filter(other -> !other.equals(name) && !allowed.contains(other))
                        .map(other -> "shalepaddle." + other + "..")
                        .toArray(String[]::new))
                .check(PRODUCTION_CLASSES));
  }

  @Test
  void packagesHaveNoCycles() {
    SlicesRuleDefinition.slices()
        .matching("shalepaddle.(*)..")
        .should()
        .beFreeOfCycles()
        .check(PRODUCTION_CLASSES);
  }

  /**
   * The packages of the policy, and the other policy packages on which each may depend. The router,
   * in the parent package, may use all of them.
   */
  private static final Map<String, List<String>> ALLOWED_POLICY_DEPENDENCIES =
      Map.of(
          "hash", List.of(),
          "health", List.of("hash"),
          "placement", List.of("hash", "health"),
          "admission", List.of(),
          "retry", List.of(),
          "membership", List.of("health"));

  @Test
  void policyPackagesUseOnlyAllowedPolicyPackages() {
    ALLOWED_POLICY_DEPENDENCIES.forEach(
        (name, allowed) ->
            noClasses()
                .that()
                .resideInAPackage("shalepaddle.policy." + name + "..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                    Stream.concat(
                            Stream.of("shalepaddle.policy"),
                            ALLOWED_POLICY_DEPENDENCIES.keySet().stream()
                                .filter(other -> !other.equals(name) && !allowed.contains(other))
                                .map(other -> "shalepaddle.policy." + other + ".."))
                        .toArray(String[]::new))
                .check(PRODUCTION_CLASSES));
    // A policy package that is missing from the table would escape the check above.
    classes()
        .that()
        .resideInAPackage("shalepaddle.policy.*..")
        .should()
        .resideInAnyPackage(
            ALLOWED_POLICY_DEPENDENCIES.keySet().stream()
                .map(name -> "shalepaddle.policy." + name + "..")
                .toArray(String[]::new))
        .check(PRODUCTION_CLASSES);
  }

  @Test
  void policyPackagesHaveNoCycles() {
    SlicesRuleDefinition.slices()
        .matching("shalepaddle.policy.(*)..")
        .should()
        .beFreeOfCycles()
        .check(PRODUCTION_CLASSES);
  }

  @Test
  void requestAndReplyTypesUseNeitherPolicyNorNettyChannels() {
    noClasses()
        .that()
        .haveNameMatching(
            "shalepaddle\\.engine\\.(Call|Payload|Reply|ReplySink|ServerReply|Attempt|Exchange|Submission|Upstream)"
                + "(\\$.*)?")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("shalepaddle.policy..", "io.netty.channel..")
        .check(PRODUCTION_CLASSES);
  }

  /** Code that reads the system's clock can't run in virtual time. */
  @Test
  void enginePackagesReadNoSystemClock() {
    for (String clock : new String[] {"nanoTime", "currentTimeMillis"}) {
      noClasses()
          .that()
          .resideInAnyPackage(
              ALLOWED_DEPENDENCIES.keySet().stream()
                  .map(name -> "shalepaddle." + name + "..")
                  .toArray(String[]::new))
          .should()
          .callMethod(System.class, clock)
          .check(PRODUCTION_CLASSES);
    }
  }

  /** Guards against checks that match no classes: this dependency exists and must be reported. */
  @Test
  void reportsForbiddenDependency() {
    assertThrows(
        AssertionError.class,
        () ->
            noClasses()
                .that()
                .resideInAPackage("shalepaddle.engine..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("shalepaddle.policy..")
                .check(PRODUCTION_CLASSES));
  }
}
