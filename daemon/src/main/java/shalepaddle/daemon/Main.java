package shalepaddle.daemon;

import java.io.IOException;
import shalepaddle.node.NodeProcess;
import shalepaddle.settings.FormatException;
import shalepaddle.sim.SimHost;

/** The program's commands. */
public final class Main {
  private static final String USAGE =
      "usage: shalepaddle simhost | serve [--operator FILE] | rehearse [--operator FILE]";

  private static final String BUFFER_EVENTS = "io.netty.jfr.enabled";

  private Main() {}

  /** Runs the command named by the first word. */
  public static void main(String[] args) throws InterruptedException {
    // Netty tells Flight Recorder of each buffer. Without a recording nobody hears it, but the
    // recorder is loaded and prepared for it: an eighth of a start's time.
    if (System.getProperty(BUFFER_EVENTS) == null) {
      System.setProperty(BUFFER_EVENTS, "false");
    }
    // No library here: it would be loaded at every start of the deployed node, for one option.
    boolean named = args.length == 3 && args[1].equals("--operator");
    String operator = named ? args[2] : null;
    switch (args.length == 1 || named ? args[0] : "") {
      case "simhost" -> simhost();
      case "serve" -> System.exit(NodeProcess.serve(System.getenv("ROUTER_CONFIG"), operator));
      case "rehearse" -> System.exit(NodeProcess.rehearse(operator));
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
