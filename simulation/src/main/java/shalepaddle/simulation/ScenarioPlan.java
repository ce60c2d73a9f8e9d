package shalepaddle.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.SplittableRandom;
import shalepaddle.testkit.Fault;

/**
 * What happens on a day: drawn from its seed alone.
 *
 * @param seed what it was drawn from, and what everything else on the day is drawn from
 * @param servers cache servers at the beginning
 * @param nodes load balancers
 * @param asksForList whether the list of servers comes only when asked for
 * @param maxAttempts attempts that a request may have
 * @param parallel whether two of them may be out together
 * @param perConnection attempts that share a connection to a server
 * @param ratePerSecond requests a second, all load balancers together
 * @param skew how unevenly keys are asked for
 * @param goneShare the part of requests whose clients leave before their answer
 * @param lagMillis how late the list tells of changes
 * @param millis how long clients ask
 * @param troubles what goes wrong, in the order of time
 * @param joining whether like reads share an answer; then few keys are asked for, so that many do
 * @param world what else a deployment may be like
 */
public record ScenarioPlan(
    long seed,
    int servers,
    int nodes,
    boolean asksForList,
    int maxAttempts,
    boolean parallel,
    int perConnection,
    double ratePerSecond,
    double skew,
    double goneShare,
    long lagMillis,
    long millis,
    List<Trouble> troubles,
    boolean joining,
    World world) {

  /**
   * What else a deployment may be like.
   *
   * @param cancel whether attempts may be called off
   * @param lateShare the part of connections to servers and discovery that comes up late
   * @param lateMillis how late that is
   * @param indented whether lists come over many lines, in pieces cut anywhere
   * @param hurry how many times shorter deadlines and aims are
   */
  public record World(
      boolean cancel, double lateShare, long lateMillis, boolean indented, int hurry) {
    /** As days are drawn without anything else said. */
    public static final World USUAL = new World(true, 0, 0, false, 1);
  }

  /** A day in the usual world. */
  public ScenarioPlan(
      long seed,
      int servers,
      int nodes,
      boolean asksForList,
      int maxAttempts,
      boolean parallel,
      int perConnection,
      double ratePerSecond,
      double skew,
      double goneShare,
      long lagMillis,
      long millis,
      List<Trouble> troubles,
      boolean joining) {
    this(
        seed,
        servers,
        nodes,
        asksForList,
        maxAttempts,
        parallel,
        perConnection,
        ratePerSecond,
        skew,
        goneShare,
        lagMillis,
        millis,
        troubles,
        joining,
        World.USUAL);
  }

  /** A kind of trouble. */
  public enum Kind {
    /** A server's process dies and comes back cold. */
    KILL,
    /** Several servers die together. */
    KILL_SOME,
    /** A server is drained, leaves and is replaced by another under a new id. */
    REPLACE,
    /** A server's machine says nothing, with its connections open. */
    SILENT,
    /** Part of a server's answers has a fault. */
    FAULT,
    /** Part of all servers' answers has a fault. */
    FAULT_EVERYWHERE,
    /** A server breaks off part of its connections. */
    RESET,
    /** All servers close their idle connections. */
    CLOSE_IDLE,
    /** The origin slows down. */
    SLOW_ORIGIN,
    /** Discovery goes down and comes back. */
    DISCOVERY_DOWN,
    /** Discovery says nothing, with its connections open. */
    DISCOVERY_SILENT,
    /** A load balancer's event loop does not run. */
    NODE_PAUSE,
    /** A load balancer restarts as planned, and another takes its place. */
    RESTART,
    /** Clients ask several times as much. */
    RUSH,
    /** A server reads slowly. */
    SLOW_READER,
    /** Clients come that break the protocol. */
    RUDE,
    /** The watches that are open fall silent for good. */
    MUTE_WATCHES,
    /** All load balancers take their configuration anew. */
    RETUNE
  }

  private static final List<Fault> FAULTS = List.of(Fault.values());

  /** The kinds that {@link #of} draws from: its days stay what they were. */
  private static final List<Kind> USUAL_KINDS =
      List.copyOf(EnumSet.complementOf(EnumSet.of(Kind.MUTE_WATCHES, Kind.RETUNE)));

  /** The kinds that {@link #crossing} brings together. */
  private static final List<Kind> CROSSING_KINDS =
      List.of(
          Kind.REPLACE,
          Kind.RESTART,
          Kind.CLOSE_IDLE,
          Kind.RESET,
          Kind.NODE_PAUSE,
          Kind.SILENT,
          Kind.KILL,
          Kind.SLOW_READER,
          Kind.DISCOVERY_DOWN,
          Kind.MUTE_WATCHES,
          Kind.RETUNE,
          Kind.RUDE);

  /**
   * Something that goes wrong.
   *
   * @param atMillis when it begins
   * @param kind what it is
   * @param which the server or load balancer, counted from 0, where it is one
   * @param millis how long it lasts, where it lasts
   * @param strength the part of answers or connections, or the factor, where there is one
   * @param fault what is wrong with answers, null where nothing is
   */
  public record Trouble(
      long atMillis, Kind kind, int which, long millis, double strength, Fault fault) {}

  /** The day of this seed, on which clients ask for so long. */
  public static ScenarioPlan of(long seed, long millis) {
    SplittableRandom random = new SplittableRandom(seed);
    int servers = 4 + random.nextInt(6);
    int nodes = 1 + random.nextInt(3);
    List<Trouble> troubles = new ArrayList<>();
    int count = 2 + random.nextInt(7);
    for (int i = 0; i < count; i++) {
      Kind kind = USUAL_KINDS.get(random.nextInt(USUAL_KINDS.size()));
      Fault fault = FAULTS.get(random.nextInt(FAULTS.size()));
      long at = millis / 10 + random.nextLong(millis * 7 / 10);
      troubles.add(trouble(at, kind, nodes, servers, fault, random));
    }
    troubles.sort(Comparator.comparingLong(Trouble::atMillis));
    boolean parallel = random.nextBoolean();
    return new ScenarioPlan(
        seed,
        servers,
        nodes,
        random.nextBoolean(),
        1 + random.nextInt(4),
        parallel,
        parallel ? 1 + random.nextInt(8) : 1,
        60 + random.nextInt(120),
        0.6 + random.nextDouble(),
        random.nextInt(3) == 0 ? 0.03 : 0,
        random.nextInt(3) == 0 ? random.nextInt(5000) : random.nextInt(300),
        millis,
        List.copyOf(troubles),
        false);
  }

  private static Trouble trouble(
      long at, Kind kind, int nodes, int servers, Fault fault, SplittableRandom random) {
    return new Trouble(
        at,
        kind,
        random.nextInt(kind == Kind.NODE_PAUSE || kind == Kind.RESTART ? nodes : servers),
        kind == Kind.NODE_PAUSE ? 40 + random.nextInt(1200) : 500 + random.nextInt(6000),
        strength(kind, random),
        kind == Kind.FAULT || kind == Kind.FAULT_EVERYWHERE ? fault : null);
  }

  /**
   * The day of this seed, and on it several things at almost the same moment, in another world:
   * each order of any two of them comes up on some seed. Many clients leave before their answers.
   */
  public static ScenarioPlan crossing(long seed, long millis) {
    ScenarioPlan usual = of(seed, millis);
    SplittableRandom random = new SplittableRandom(~seed);
    List<Trouble> troubles = new ArrayList<>(usual.troubles);
    long moment = millis / 10 + random.nextLong(millis * 5 / 10);
    int together = 2 + random.nextInt(4);
    for (int i = 0; i < together; i++) {
      Kind kind = CROSSING_KINDS.get(random.nextInt(CROSSING_KINDS.size()));
      long at = moment + random.nextLong(400);
      troubles.add(trouble(at, kind, usual.nodes, usual.servers, null, random));
    }
    troubles.sort(Comparator.comparingLong(Trouble::atMillis));
    World world =
        new World(
            random.nextBoolean(),
            random.nextBoolean() ? 0.5 * random.nextDouble() : 0,
            50 + random.nextInt(900),
            random.nextBoolean(),
            1 + random.nextInt(8));
    return new ScenarioPlan(
        seed,
        usual.servers,
        usual.nodes,
        usual.asksForList,
        usual.maxAttempts,
        usual.parallel,
        usual.perConnection,
        usual.ratePerSecond,
        usual.skew,
        0.05 + 0.25 * random.nextDouble(),
        usual.lagMillis,
        millis,
        List.copyOf(troubles),
        false,
        world);
  }

  /** The same day with load balancers that let like reads share an answer. */
  public ScenarioPlan joined() {
    return new ScenarioPlan(
        seed,
        servers,
        nodes,
        asksForList,
        maxAttempts,
        parallel,
        perConnection,
        ratePerSecond,
        skew,
        goneShare,
        lagMillis,
        millis,
        troubles,
        true,
        world);
  }

  private static double strength(Kind kind, SplittableRandom random) {
    return switch (kind) {
      case FAULT, RESET -> 0.1 + 0.9 * random.nextDouble();
      case FAULT_EVERYWHERE -> 0.02 + 0.15 * random.nextDouble();
      case SLOW_ORIGIN -> 2 + 6 * random.nextDouble();
      case SLOW_READER -> 10 + random.nextInt(200);
      case RUDE -> 5 + random.nextInt(60);
      case RUSH -> 2 + 3 * random.nextDouble();
      default -> 1;
    };
  }
}
