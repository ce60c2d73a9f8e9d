package shalepaddle.daemon;

import java.io.IOException;
import shalepaddle.node.Node;
import shalepaddle.settings.FormatException;
import shalepaddle.sim.SimHost;

/** The program's commands. */
public final class Main {
  private static final String USAGE = "usage: shalepaddle simhost | serve | rehearse";

  private Main() {}

  /** Runs the command named by the first word. */
  public static void main(String[] args) throws InterruptedException {
    switch (args.length == 1 ? args[0] : "") {
      case "simhost" -> simhost();
      case "serve" -> System.exit(Node.serve(System.getenv("ROUTER_CONFIG")));
      case "rehearse" -> System.exit(Node.rehearse());
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
