package shalepaddle.benchmarks;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The measurements, each a command. Those of single decisions are run by JMH's own main class. */
@Command(
    name = "benchmarks",
    description = "Measures whole processes, side by side in one run.",
    mixinStandardHelpOptions = true,
    subcommands = {BesideRelay.class, PastCapacity.class, AfterTrigger.class, ColdCaches.class})
public final class Benchmarks {
  private Benchmarks() {}

  /** Runs the measurement that the first word names. */
  public static void main(String[] args) {
    System.exit(new CommandLine(new Benchmarks()).execute(args));
  }
}
