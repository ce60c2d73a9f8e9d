package shalepaddle.cli;

import java.io.IOException;
import java.io.InputStream;
import java.util.Map;
import java.util.Properties;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import shalepaddle.node.NodeProcess;
import shalepaddle.settings.FormatException;
import shalepaddle.sim.SimHost;

/**
 * The program's commands, with their help. Exit codes: 0 where all went well, 1 where something
 * that was tried failed, 2 where what was asked for makes no sense or a port is taken.
 *
 * <p>The deployed jar has a main class of its own, which knows three words and loads none of this:
 * a node has part of a core to start on.
 */
@Command(
    name = "shalepaddle",
    description = "A load balancer for cache fleets.",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    subcommands = {
      TryCommand.class,
      SimulateCommand.class,
      ClusterCommand.class,
      CapacityCommand.class,
      Main.Serve.class,
      Main.SimHostCommand.class,
      Main.Rehearse.class
    })
public final class Main implements Callable<Integer> {
  /** Former names of commands, which still work and which the help does not show. */
  private static final Map<String, String> PRESENT_NAMES =
      Map.of("day", "simulate", "scale", "capacity");

  @Spec private CommandSpec spec;

  /** Runs the command that the arguments name. */
  public static void main(String[] args) {
    System.exit(new CommandLine(new Main()).execute(withPresentName(args)));
  }

  /** The same arguments, with the command by its present name where a former one is given. */
  private static String[] withPresentName(String[] args) {
    if (args.length == 0 || !PRESENT_NAMES.containsKey(args[0])) {
      return args;
    }
    String[] renamed = args.clone();
    renamed[0] = PRESENT_NAMES.get(args[0]);
    return renamed;
  }

  @Override
  public Integer call() {
    spec.commandLine().usage(System.err);
    return CommandLine.ExitCode.USAGE;
  }

  /** Tells the version that was built. */
  static final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() throws IOException {
      Properties properties = new Properties();
      try (InputStream in = Main.class.getResourceAsStream("version.properties")) {
        properties.load(in);
      }
      return new String[] {"shalepaddle " + properties.getProperty("version")};
    }
  }

  /** The node that is deployed. */
  @Command(
      name = "serve",
      description = "Serves as the configuration says that ROUTER_CONFIG names.",
      mixinStandardHelpOptions = true)
  static final class Serve implements Callable<Integer> {
    @Option(
        names = "--operator",
        paramLabel = "FILE",
        description = "What the operator sets, such as deploy/operator.toml.")
    private String operator;

    @Override
    public Integer call() throws InterruptedException {
      return NodeProcess.serve(System.getenv("ROUTER_CONFIG"), operator);
    }
  }

  /** The adapter of the simulator. */
  @Command(
      name = "simhost",
      description = "Decides for a simulator, on standard input and output.",
      mixinStandardHelpOptions = true)
  static final class SimHostCommand implements Callable<Integer> {
    @Override
    public Integer call() {
      try {
        new SimHost(System.in, System.out).run();
        return 0;
      } catch (FormatException | IOException e) {
        System.err.println("simhost: " + e.getMessage());
        return 1;
      }
    }
  }

  /** A start that serves nobody. */
  @Command(
      name = "rehearse",
      description = "Starts a node that knows no servers and ends it, as a build does.",
      mixinStandardHelpOptions = true)
  static final class Rehearse implements Callable<Integer> {
    @Override
    public Integer call() throws InterruptedException {
      return NodeProcess.rehearse(null);
    }
  }
}
