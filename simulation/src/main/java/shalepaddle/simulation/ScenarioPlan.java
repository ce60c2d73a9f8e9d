package shalepaddle.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.SplittableRandom;
import shalepaddle.testkit.Fault;

/**
 * A scenario, drawn from its seed alone.
 *
 * @param seed seed of the scenario and of all random draws while it runs
 * @param serverCount number of cache servers at the start
 * @param nodeCount number of load balancers
 * @param polling whether load balancers poll discovery for the endpoint list instead of watching it
 * @param maxAttempts maximum number of attempts per request
 * @param parallelAttempts whether two attempts of a request may be in flight at the same time
 * @param attemptsPerConnection attempts that may share a connection to a server
 * @param ratePerSecond requests per second, all load balancers together
 * @param zipfExponent exponent of the Zipf distribution of keys
 * @param disconnectShare share of the requests whose clients disconnect before the response
 * @param discoveryLagMillis delay in milliseconds until discovery sends a change
 * @param durationMillis how long clients send requests, in milliseconds
 * @param events faults and other events, ordered by start time
 * @param coalescing whether equal reads are coalesced; if so, clients request fewer keys, so that
 *     many reads are equal
 * @param deployment further properties of the deployment
 */
public record ScenarioPlan(
    long seed,
    int serverCount,
    int nodeCount,
    boolean polling,
    int maxAttempts,
    boolean parallelAttempts,
    int attemptsPerConnection,
    double ratePerSecond,
    double zipfExponent,
    double disconnectShare,
    long discoveryLagMillis,
    long durationMillis,
    List<Event> events,
    boolean coalescing,
    Deployment deployment) {

  /**
   * Further properties of a deployment.
   *
   * @param mayCancelAttempts whether attempts may be cancelled
   * @param delayedConnectShare share of the connections to servers and discovery that are
   *     established with a delay
   * @param connectDelayMillis delay of these connections in milliseconds
   * @param indentedLists whether endpoint lists are indented over many lines and split into chunks
   *     at arbitrary positions
   * @param deadlineDivisor divisor of all deadlines and latency objectives
   */
  public record Deployment(
      boolean mayCancelAttempts,
      double delayedConnectShare,
      long connectDelayMillis,
      boolean indentedLists,
      int deadlineDivisor) {
    /** The deployment of {@link ScenarioPlan#of}. */
    public static final Deployment DEFAULT = new Deployment(true, 0, 0, false, 1);
  }

  /** A scenario in the default deployment. */
  public ScenarioPlan(
      long seed,
      int serverCount,
      int nodeCount,
      boolean polling,
      int maxAttempts,
      boolean parallelAttempts,
      int attemptsPerConnection,
      double ratePerSecond,
      double zipfExponent,
      double disconnectShare,
      long discoveryLagMillis,
      long durationMillis,
      List<Event> events,
      boolean coalescing) {
    this(
        seed,
        serverCount,
        nodeCount,
        polling,
        maxAttempts,
        parallelAttempts,
        attemptsPerConnection,
        ratePerSecond,
        zipfExponent,
        disconnectShare,
        discoveryLagMillis,
        durationMillis,
        events,
        coalescing,
        Deployment.DEFAULT);
  }

  /** The kind of an event. */
  public enum Kind {
    /** A server's process is killed and restarts cold. */
    KILL,
    /** Several servers are killed together. */
    KILL_SEVERAL,
    /** A server is drained, leaves the endpoint list, and is replaced by one with a new id. */
    REPLACE,
    /** A server stops reading and responding but keeps its connections open. */
    SERVER_UNRESPONSIVE,
    /** A share of a server's responses has a fault. */
    FAULT,
    /** A share of all servers' responses has a fault. */
    FAULT_EVERYWHERE,
    /** A server closes a share of its connections. */
    CLOSE_CONNECTIONS,
    /** All servers close their idle connections. */
    CLOSE_IDLE_CONNECTIONS,
    /** The origin slows down. */
    SLOW_ORIGIN,
    /** Discovery goes down and restarts. */
    DISCOVERY_DOWN,
    /** Discovery sends no changes but keeps its connections open. */
    DISCOVERY_SILENT,
    /** A load balancer's event loop is suspended. */
    NODE_PAUSE,
    /** A load balancer drains for a planned restart, and a new one accepts its clients. */
    RESTART,
    /** Clients send requests at several times their usual rate. */
    LOAD_SPIKE,
    /** A server reads only a few bytes at a time. */
    SLOW_READER,
    /** Clients that violate the protocol connect to all load balancers. */
    MISBEHAVING_CLIENTS,
    /** All discovery watches that are open now stop sending for good. */
    MUTE_WATCHES,
    /** All load balancers reload their configuration. */
    RELOAD_CONFIGURATION
  }

  private static final List<Fault> FAULTS = List.of(Fault.values());

  /**
   * The kinds of events that {@link #of} draws. Kinds that were added to the enum later are left
   * out, so that the scenario of a seed stays the same.
   */
  private static final List<Kind> BASE_KINDS =
      List.copyOf(EnumSet.complementOf(EnumSet.of(Kind.MUTE_WATCHES, Kind.RELOAD_CONFIGURATION)));

  /** The kinds of events that {@link #ofConcurrentEvents} adds at almost the same time. */
  private static final List<Kind> CONCURRENT_KINDS =
      List.of(
          Kind.REPLACE,
          Kind.RESTART,
          Kind.CLOSE_IDLE_CONNECTIONS,
          Kind.CLOSE_CONNECTIONS,
          Kind.NODE_PAUSE,
          Kind.SERVER_UNRESPONSIVE,
          Kind.KILL,
          Kind.SLOW_READER,
          Kind.DISCOVERY_DOWN,
          Kind.MUTE_WATCHES,
          Kind.RELOAD_CONFIGURATION,
          Kind.MISBEHAVING_CLIENTS);

  /**
   * An event of the scenario.
   *
   * @param atMillis start of the event, in milliseconds after clients start to send requests
   * @param kind kind of the event
   * @param targetIndex index of the affected server or load balancer, if the event affects a single
   *     one
   * @param durationMillis duration of the event in milliseconds, if its kind has a duration
   * @param strength the affected share, the factor, the number of clients or of bytes, depending on
   *     the kind
   * @param fault the fault of responses; null for kinds without one
   */
  public record Event(
      long atMillis,
      Kind kind,
      int targetIndex,
      long durationMillis,
      double strength,
      Fault fault) {}

  /**
   * Draws the scenario of this seed.
   *
   * @param durationMillis how long clients send requests, in milliseconds
   */
  public static ScenarioPlan of(long seed, long durationMillis) {
    SplittableRandom random = new SplittableRandom(seed);
    int serverCount = 4 + random.nextInt(6);
    int nodeCount = 1 + random.nextInt(3);
    List<Event> events = new ArrayList<>();
    int eventCount = 2 + random.nextInt(7);
    for (int i = 0; i < eventCount; i++) {
      Kind kind = BASE_KINDS.get(random.nextInt(BASE_KINDS.size()));
      Fault fault = FAULTS.get(random.nextInt(FAULTS.size()));
      long atMillis = durationMillis / 10 + random.nextLong(durationMillis * 7 / 10);
      events.add(drawEvent(atMillis, kind, nodeCount, serverCount, fault, random));
    }
    events.sort(Comparator.comparingLong(Event::atMillis));
    boolean parallelAttempts = random.nextBoolean();
    return new ScenarioPlan(
        seed,
        serverCount,
        nodeCount,
        random.nextBoolean(),
        1 + random.nextInt(4),
        parallelAttempts,
        parallelAttempts ? 1 + random.nextInt(8) : 1,
        60 + random.nextInt(120),
        0.6 + random.nextDouble(),
        random.nextInt(3) == 0 ? 0.03 : 0,
        random.nextInt(3) == 0 ? random.nextInt(5000) : random.nextInt(300),
        durationMillis,
        List.copyOf(events),
        false);
  }

  private static Event drawEvent(
      long atMillis,
      Kind kind,
      int nodeCount,
      int serverCount,
      Fault fault,
      SplittableRandom random) {
    return new Event(
        atMillis,
        kind,
        random.nextInt(kind == Kind.NODE_PAUSE || kind == Kind.RESTART ? nodeCount : serverCount),
        kind == Kind.NODE_PAUSE ? 40 + random.nextInt(1200) : 500 + random.nextInt(6000),
        drawStrength(kind, random),
        kind == Kind.FAULT || kind == Kind.FAULT_EVERYWHERE ? fault : null);
  }

  /**
   * Draws the scenario of this seed with additional events at almost the same time, in a randomly
   * drawn deployment. Many clients disconnect before their response. Over many seeds, any two kinds
   * of these events occur in either order.
   */
  public static ScenarioPlan ofConcurrentEvents(long seed, long durationMillis) {
    ScenarioPlan basePlan = of(seed, durationMillis);
    SplittableRandom random = new SplittableRandom(~seed);
    List<Event> events = new ArrayList<>(basePlan.events);
    long windowStartMillis = durationMillis / 10 + random.nextLong(durationMillis * 5 / 10);
    int concurrentEventCount = 2 + random.nextInt(4);
    for (int i = 0; i < concurrentEventCount; i++) {
      Kind kind = CONCURRENT_KINDS.get(random.nextInt(CONCURRENT_KINDS.size()));
      long atMillis = windowStartMillis + random.nextLong(400);
      events.add(drawEvent(atMillis, kind, basePlan.nodeCount, basePlan.serverCount, null, random));
    }
    events.sort(Comparator.comparingLong(Event::atMillis));
    Deployment deployment =
        new Deployment(
            random.nextBoolean(),
            random.nextBoolean() ? 0.5 * random.nextDouble() : 0,
            50 + random.nextInt(900),
            random.nextBoolean(),
            1 + random.nextInt(8));
    return new ScenarioPlan(
        seed,
        basePlan.serverCount,
        basePlan.nodeCount,
        basePlan.polling,
        basePlan.maxAttempts,
        basePlan.parallelAttempts,
        basePlan.attemptsPerConnection,
        basePlan.ratePerSecond,
        basePlan.zipfExponent,
        0.05 + 0.25 * random.nextDouble(),
        basePlan.discoveryLagMillis,
        durationMillis,
        List.copyOf(events),
        false,
        deployment);
  }

  /** Returns this scenario with load balancers that coalesce equal reads. */
  public ScenarioPlan withCoalescing() {
    return new ScenarioPlan(
        seed,
        serverCount,
        nodeCount,
        polling,
        maxAttempts,
        parallelAttempts,
        attemptsPerConnection,
        ratePerSecond,
        zipfExponent,
        disconnectShare,
        discoveryLagMillis,
        durationMillis,
        events,
        true,
        deployment);
  }

  private static double drawStrength(Kind kind, SplittableRandom random) {
    return switch (kind) {
      case FAULT, CLOSE_CONNECTIONS -> 0.1 + 0.9 * random.nextDouble();
      case FAULT_EVERYWHERE -> 0.02 + 0.15 * random.nextDouble();
      case SLOW_ORIGIN -> 2 + 6 * random.nextDouble();
      case SLOW_READER -> 10 + random.nextInt(200);
      case MISBEHAVING_CLIENTS -> 5 + random.nextInt(60);
      case LOAD_SPIKE -> 2 + 3 * random.nextDouble();
      default -> 1;
    };
  }
}
