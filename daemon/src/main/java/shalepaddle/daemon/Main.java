package shalepaddle.daemon;

import java.io.IOException;
import shalepaddle.node.NodeProcess;
import shalepaddle.settings.FormatException;
import shalepaddle.sim.SimHost;

/** Main class of the deployed jar: runs a command and exits with its code. */
public final class Main {
  private static final String USAGE =
      "usage: shalepaddle simhost | serve [--operator FILE] | rehearse [--operator FILE]";

  /** Netty's property that enables events of its buffers in Java Flight Recorder. */
  private static final String NETTY_JFR_PROPERTY = "io.netty.jfr.enabled";

  private Main() {}

  /** Runs the command that the first argument names. */
  public static void main(String[] args) throws InterruptedException {
    // The events are off by default: without a recording they are lost, but loading the recorder
    // for them slows down the startup.
    if (System.getProperty(NETTY_JFR_PROPERTY) == null) {
      System.setProperty(NETTY_JFR_PROPERTY, "false");
    }
    // The only option is parsed by hand, since a library for it would be loaded at each startup.
    boolean hasOperatorOption = args.length == 3 && args[1].equals("--operator");
    String operatorSettingsFile = hasOperatorOption ? args[2] : null;
    switch (args.length == 1 || hasOperatorOption ? args[0] : "") {
      case "simhost" -> runSimHost();
      case "serve" ->
          System.exit(NodeProcess.serve(System.getenv("ROUTER_CONFIG"), operatorSettingsFile));
      case "rehearse" -> System.exit(NodeProcess.rehearse(operatorSettingsFile));
      default -> {
        System.err.println(USAGE);
        System.exit(2);
      }
    }
  }

  private static void runSimHost() {
    try {
      new SimHost(System.in, System.out).run();
    } catch (FormatException | IOException e) {
      System.err.println("simhost: " + e.getMessage());
      System.exit(1);
    }
  }
}
