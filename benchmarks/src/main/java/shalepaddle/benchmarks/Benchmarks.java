package shalepaddle.benchmarks;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Command line of the measurements of whole processes, with one subcommand for each. The JMH
 * benchmarks of this package are run by JMH's own main class.
 */
@Command(
    name = "benchmarks",
    description = "Measures whole processes, which take turns within one run.",
    mixinStandardHelpOptions = true,
    subcommands = {BesideRelay.class, PastCapacity.class, AfterTrigger.class, ColdCaches.class})
public final class Benchmarks {
  private Benchmarks() {}

  /** Runs the measurement whose subcommand is the first argument. */
  public static void main(String[] args) {
    System.exit(new CommandLine(new Benchmarks()).execute(args));
  }
}
