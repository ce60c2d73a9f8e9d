package shalepaddle.benchmarks;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Requests a second through a node beside a bare byte relay, each a process of its own on the same
 * one core, in turns within one run; and for each node its start time and memory.
 */
@Command(
    name = "beside-relay",
    description = "Measures nodes beside a bare relay, each on one core, in turns.",
    mixinStandardHelpOptions = true)
public final class BesideRelay implements Callable<Integer> {
  /** The part of the answers that may be no values: a refusal costs a fraction of a request. */
  private static final double MOST_REFUSED = 0.01;

  @Mixin private Nodes nodes;

  @Option(names = "--rounds", description = "Turns of each (default: ${DEFAULT-VALUE}).")
  private int rounds = 5;

  @Option(names = "--seconds", description = "Measured in each turn (default: ${DEFAULT-VALUE}).")
  private int seconds = 5;

  @Option(names = "--warm", description = "Unmeasured before that (default: ${DEFAULT-VALUE}).")
  private int warm = 4;

  @Option(names = "--connections", description = "Clients (default: ${DEFAULT-VALUE}).")
  private int connections = 64;

  @Option(names = "--value", description = "Bytes of a value (default: ${DEFAULT-VALUE}).")
  private int valueBytes = 100;

  private final Map<String, List<Double>> rates = new LinkedHashMap<>();
  private final Map<String, List<Double>> starts = new LinkedHashMap<>();
  private final Map<String, List<Double>> memory = new LinkedHashMap<>();

  /** Turns with more refusals than {@link #MOST_REFUSED}: what they say of a node is void. */
  private int voided;

  @Override
  public Integer call() throws Exception {
    try (Servers servers = new Servers(8, valueBytes)) {
      int port = Subject.freePort();
      List<Subject> subjects = new ArrayList<>();
      subjects.add(relay(port, servers));
      subjects.addAll(nodes.subjects(port, servers));
      for (int round = 1; round <= rounds; round++) {
        for (Subject subject : subjects) {
          turn(round, subject, port);
        }
      }
    }
    summary();
    if (voided > 0) {
      System.err.printf("%d turns with over 1%% refused: the ratios are void%n", voided);
      return 1;
    }
    return 0;
  }

  private Subject relay(int port, Servers servers) {
    List<String> arguments =
        new ArrayList<>(
            List.of(
                "-cp",
                System.getProperty("java.class.path"),
                Relay.class.getName(),
                Integer.toString(port)));
    servers.ports().forEach(server -> arguments.add(Integer.toString(server)));
    return Subject.java("relay", arguments);
  }

  private void turn(int round, Subject subject, int port) throws Exception {
    long began = System.nanoTime();
    try (Subject.Running running = nodes.start(subject, port)) {
      double started = (System.nanoTime() - began) / 1e6;
      double resident = running.residentMegabytes();
      Load.Result result = Load.run(port, connections, warm, seconds);
      add(rates, subject.name(), result.perSecond());
      voided += result.refusedPart() > MOST_REFUSED ? 1 : 0;
      add(starts, subject.name(), started);
      add(memory, subject.name(), resident);
      System.out.printf(
          "round %d  %-10s %8.0f served/s  p99 %5d us  %d refused (%.2f%%)  start %5.0f ms"
              + "  %4.0f MB%n",
          round,
          subject.name(),
          result.perSecond(),
          result.p99Micros(),
          result.refused(),
          100 * result.refusedPart(),
          started,
          resident);
    }
  }

  private static void add(Map<String, List<Double>> figures, String name, double value) {
    figures.computeIfAbsent(name, n -> new ArrayList<>()).add(value);
  }

  private void summary() {
    System.out.println();
    for (String name : rates.keySet()) {
      List<Double> ratios =
          IntStream.range(0, rounds)
              .mapToObj(i -> rates.get(name).get(i) / rates.get("relay").get(i))
              .toList();
      System.out.printf(
          "%-10s of the relay %s   requests/s %s   start ms %s   MB %s%n",
          name,
          Figures.spread(ratios, "%.3f"),
          Figures.spread(rates.get(name), "%.0f"),
          Figures.spread(starts.get(name), "%.0f"),
          Figures.spread(memory.get(name), "%.1f"));
    }
  }
}
