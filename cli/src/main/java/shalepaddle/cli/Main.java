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
 * The program's commands with their help. Exit codes: 0 after success, 1 after a failure during the
 * run, 2 after invalid arguments or if a port is in use.
 *
 * <p>The deployed jar has another main class, which knows three commands and loads none of these
 * classes: a deployed node has only a fraction of a core, on which loading them would take long.
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
  /** Former command names, which still work but are not shown in the help, and the current ones. */
  private static final Map<String, String> CURRENT_NAME_BY_FORMER_NAME =
      Map.of("day", "simulate", "scale", "capacity");

  @Spec private CommandSpec spec;

  /** Runs the command that the arguments name. */
  public static void main(String[] args) {
    System.exit(new CommandLine(new Main()).execute(withCurrentName(args)));
  }

  /** Replaces a former command name by the current one. */
  private static String[] withCurrentName(String[] args) {
    if (args.length == 0 || !CURRENT_NAME_BY_FORMER_NAME.containsKey(args[0])) {
      return args;
    }
    String[] argsWithCurrentName = args.clone();
    argsWithCurrentName[0] = CURRENT_NAME_BY_FORMER_NAME.get(args[0]);
    return argsWithCurrentName;
  }

  @Override
  public Integer call() {
    spec.commandLine().usage(System.err);
    return CommandLine.ExitCode.USAGE;
  }

  /** Provides the version of the build. */
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

  /** Runs a node, as the deployed jar does. */
  @Command(
      name = "serve",
      description = "Runs a node with the configuration file that ROUTER_CONFIG names.",
      mixinStandardHelpOptions = true)
  static final class Serve implements Callable<Integer> {
    @Option(
        names = "--operator",
        paramLabel = "FILE",
        description = "File with the operator's settings, such as deploy/operator.toml.")
    private String operatorSettingsFile;

    @Override
    public Integer call() throws InterruptedException {
      return NodeProcess.serve(System.getenv("ROUTER_CONFIG"), operatorSettingsFile);
    }
  }

  /** Runs the adapter for an external simulator. */
  @Command(
      name = "simhost",
      description = "Makes routing decisions for a simulator over standard input and output.",
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

  /** Starts a node without servers and ends it. */
  @Command(
      name = "rehearse",
      description =
          "Starts a node without servers and ends it, so that the build can archive the loaded"
              + " classes.",
      mixinStandardHelpOptions = true)
  static final class Rehearse implements Callable<Integer> {
    @Override
    public Integer call() throws InterruptedException {
      return NodeProcess.rehearse(null);
    }
  }
}
