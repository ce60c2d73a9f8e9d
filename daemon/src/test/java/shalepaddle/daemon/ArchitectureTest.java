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

/** Who may know what: the table of the modules, held by the byte code. */
class ArchitectureTest {
  private static final JavaClasses ALL =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("shalepaddle");

  /** The packages that decide, and what they decide on. */
  private static final String[] DECISIONS = {
    "shalepaddle.model..",
    "shalepaddle.policy..",
    "shalepaddle.overload..",
    "shalepaddle.coalescing..",
    "shalepaddle.replicatedstate..",
    "shalepaddle.changefeed.."
  };

  private static final String[] DECISIONS_AND_JAVA =
      Stream.concat(
              Arrays.stream(DECISIONS),
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
  void decisionsKnowNoSocketsThreadsOrFiles() {
    classes()
        .that()
        .resideInAnyPackage(DECISIONS)
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(DECISIONS_AND_JAVA)
        .check(ALL);
  }

  /** A platform may withhold sockets, files or ports that a start would wait for. */
  @Test
  void warmingUpOpensNoSocketAndNoFile() {
    noClasses()
        .that()
        .haveNameMatching("shalepaddle\\.node\\.Warmup.*")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("java.net", "java.nio.file", "io.netty.channel.socket..")
        .check(ALL);
  }

  @Test
  void decisionsReadNoClock() {
    for (String clock : new String[] {"nanoTime", "currentTimeMillis"}) {
      noClasses()
          .that()
          .resideInAnyPackage(DECISIONS)
          .should()
          .callMethod(System.class, clock)
          .check(ALL);
    }
  }

  @Test
  void theSimulatorsAdapterAndTheSettingsKnowNoNetwork() {
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
        .check(ALL);
  }

  @Test
  void theEngineKnowsNoSimulatorAndNoCommandLine() {
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
        .check(ALL);
  }

  /** Each room of the engine, and the others that it may know. */
  private static final Map<String, List<String>> MAY_KNOW =
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
  void eachRoomKnowsItsNeighboursAlone() {
    List<String> all =
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
    MAY_KNOW.forEach(
        (room, known) ->
            noClasses()
                .that()
                .resideInAPackage("shalepaddle." + room + "..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                    all.stream()
                        .filter(other -> !other.equals(room) && !known.contains(other))
                        .map(other -> "shalepaddle." + other + "..")
                        .toArray(String[]::new))
                .check(ALL));
  }

  @Test
  void noTwoRoomsKnowEachOther() {
    SlicesRuleDefinition.slices()
        .matching("shalepaddle.(*)..")
        .should()
        .beFreeOfCycles()
        .check(ALL);
  }

  /** Each rule of the policy, and the others that it may know; the router joins all of them. */
  private static final Map<String, List<String>> RULES_MAY_KNOW =
      Map.of(
          "hash", List.of(),
          "health", List.of("hash"),
          "placement", List.of("hash", "health"),
          "admission", List.of(),
          "retry", List.of(),
          "membership", List.of("health"));

  @Test
  void onlyTheRoutersPackageJoinsTheRulesOfThePolicy() {
    RULES_MAY_KNOW.forEach(
        (rule, known) ->
            noClasses()
                .that()
                .resideInAPackage("shalepaddle.policy." + rule + "..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                    Stream.concat(
                            Stream.of("shalepaddle.policy"),
                            RULES_MAY_KNOW.keySet().stream()
                                .filter(other -> !other.equals(rule) && !known.contains(other))
                                .map(other -> "shalepaddle.policy." + other + ".."))
                        .toArray(String[]::new))
                .check(ALL));
    // A rule that is not in the table would know what it likes.
    classes()
        .that()
        .resideInAPackage("shalepaddle.policy.*..")
        .should()
        .resideInAnyPackage(
            RULES_MAY_KNOW.keySet().stream()
                .map(rule -> "shalepaddle.policy." + rule + "..")
                .toArray(String[]::new))
        .check(ALL);
  }

  @Test
  void rulesOfThePolicyHaveNoCycles() {
    SlicesRuleDefinition.slices()
        .matching("shalepaddle.policy.(*)..")
        .should()
        .beFreeOfCycles()
        .check(ALL);
  }

  @Test
  void callsAndRepliesKnowNoConnections() {
    noClasses()
        .that()
        .haveNameMatching(
            "shalepaddle\\.engine\\.(Call|Payload|Reply|ReplySink|ServerReply|Attempt|Exchange|Submission|Upstream)"
                + "(\\$.*)?")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("shalepaddle.policy..", "io.netty.channel..")
        .check(ALL);
  }

  /** Whoever reads the system's clock can not run in virtual time. */
  @Test
  void timeComesThroughTheTicker() {
    for (String clock : new String[] {"nanoTime", "currentTimeMillis"}) {
      noClasses()
          .that()
          .resideInAnyPackage(
              MAY_KNOW.keySet().stream()
                  .map(room -> "shalepaddle." + room + "..")
                  .toArray(String[]::new))
          .should()
          .callMethod(System.class, clock)
          .check(ALL);
    }
  }

  /** The rules above could be empty: here is one that has to fail. */
  @Test
  void aBrokenRuleIsFound() {
    assertThrows(
        AssertionError.class,
        () ->
            noClasses()
                .that()
                .resideInAPackage("shalepaddle.engine..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("shalepaddle.policy..")
                .check(ALL));
  }
}
