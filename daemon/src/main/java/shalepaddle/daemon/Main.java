package shalepaddle.daemon;

import java.io.IOException;
import shalepaddle.node.NodeProcess;
import shalepaddle.settings.FormatException;
import shalepaddle.sim.SimHost;

/** The deployed program: reads its command and its options, and exits with the command's code. */
public final class Main {
  private static final String USAGE =
      "usage: shalepaddle simhost | serve [--operator FILE] | rehearse [--operator FILE]";

  /** Netty's switch for events of its buffers in Java's Flight Recorder. */
  private static final String NETTY_RECORDER_EVENTS = "io.netty.jfr.enabled";

  private Main() {}

  /** Runs the command named by the first word. */
  public static void main(String[] args) throws InterruptedException {
    // Off unless it is set: without a recording its events are lost, but loading the recorder for
    // them makes a start slower.
    if (System.getProperty(NETTY_RECORDER_EVENTS) == null) {
      System.setProperty(NETTY_RECORDER_EVENTS, "false");
    }
    // No library for one option: it would be loaded at every start.
    boolean hasOperatorFile = args.length == 3 && args[1].equals("--operator");
    String operatorFile = hasOperatorFile ? args[2] : null;
    switch (args.length == 1 || hasOperatorFile ? args[0] : "") {
      case "simhost" -> simhost();
      case "serve" -> System.exit(NodeProcess.serve(System.getenv("ROUTER_CONFIG"), operatorFile));
      case "rehearse" -> System.exit(NodeProcess.rehearse(operatorFile));
      default -> {
        System.err.println(USAGE);
        System.exit(2);
      }
    }
  }

  private static void simhost() {
    try {
      new SimHost(System.in, System.out).run();
    } catch (FormatException | IOException e) {
      System.err.println("simhost: " + e.getMessage());
      System.exit(1);
    }
  }
}
