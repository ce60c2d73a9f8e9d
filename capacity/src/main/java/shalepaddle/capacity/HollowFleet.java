package shalepaddle.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Outcome;
import shalepaddle.model.Request;
import shalepaddle.model.ServerEntry;
import shalepaddle.policy.RequestRouter;

/**
 * Simulates a fleet of hollow nodes, with the production router in each, and cache servers that are
 * modelled as a set of cached keys and two response times. The simulation runs in virtual time, in
 * seconds, on one thread and with a fixed seed. First the caches fill, then the figures are
 * counted, then the servers of one zone restart with empty caches. The load from all nodes on the
 * restarted servers is compared with the overload limit of slow start: a server fails after {@link
 * HollowSettings#OVERLOAD_SECONDS} seconds of load at {@link HollowSettings#OVERLOAD_RATIO} times
 * its present capacity. {@code RuleChecker} in the tests of core checks the same limit as its rule
 * 4.
 */
final class HollowFleet {
  /** Number of different keys, which are drawn by Zipf's law with an exponent of one (assumed). */
  static final int KEY_COUNT = 1 << 18;

  /** Response time of a server for a key that it has cached (assumed). */
  private static final double HIT_SECONDS = 0.048;

  /** Response time of a server for a key that it has to fetch (assumed). */
  private static final double MISS_SECONDS = 0.15;

  /** Time until every node has learnt of a change of the endpoint list (assumed). */
  private static final double MAX_LIST_DELAY_SECONDS = 1;

  /**
   * The bit that a router sets in the tokens of hold timers. A hold timer ends the time for which a
   * read waits for a fetch before it is sent. A router's other timers have even tokens and are not
   * simulated; deadline timers are not needed because every read that is sent is answered in time.
   */
  private static final long HOLD_FLAG = 1;

  /** Token of the event that a node receives the new endpoint list; no timer has this token. */
  private static final long LIST_UPDATE_TOKEN = Long.MIN_VALUE;

  /**
   * The result of a simulation.
   *
   * @param otherServerRatio the fraction of reads that were sent to another server than the key's
   *     first choice
   * @param rejectedRatio the fraction of reads that were rejected or failed
   * @param missRatio the fraction of reads that missed in the cache
   * @param copiesPerKey mean number of servers that have a key cached, over all cached keys
   * @param microsPerRead processor time of the routing decisions per read
   * @param nodesPerServer mean number of nodes that sent reads to a server
   * @param restartLoadRatio the greatest number of reads sent to a restarted server within {@link
   *     HollowSettings#OVERLOAD_SECONDS} seconds, as a fraction of the number that overloads the
   *     server. Two standard deviations and two reads are added to this limit for random variation.
   * @param maxNewCallersPerSecond the greatest number of nodes that sent their first read to one
   *     restarted server within one second
   * @param bytesPerNode heap per node
   */
  record Result(
      double otherServerRatio,
      double rejectedRatio,
      double missRatio,
      double copiesPerKey,
      double microsPerRead,
      double nodesPerServer,
      double restartLoadRatio,
      double maxNewCallersPerSecond,
      double bytesPerNode) {}

  /**
   * The phases of a simulation, in seconds of virtual time.
   *
   * @param warmUpSeconds how long the caches fill
   * @param countedSeconds how long the figures are counted
   * @param restartedSeconds how long the simulation goes on after the servers of one zone have
   *     restarted
   */
  record Phases(double warmUpSeconds, double countedSeconds, double restartedSeconds) {
    double totalSeconds() {
      return warmUpSeconds + countedSeconds + restartedSeconds;
    }
  }

  /**
   * A read that a node has sent. The read's key is the end of its id, since the router may send a
   * read some time after the read's arrival.
   */
  private record SentRead(int node, String id, int server) {}

  /**
   * A scheduled event at a node.
   *
   * @param id the id of the read whose answer arrives, null for a timer
   * @param token the timer's token, or {@link #LIST_UPDATE_TOKEN}
   */
  private record Event(
      double atSeconds, int node, String id, int server, long token, boolean isMiss) {}

  private final FleetSize size;
  private final Phases simulationPhases;
  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> Double.compare(a.atSeconds, b.atSeconds));
  private final RequestRouter[] routers;

  /** Determines each key's first-choice server: without load it sends every read there. */
  private final RequestRouter idleRouter;

  /** The first-choice server of each key, -1 if not determined yet. */
  private final int[] firstChoices = new int[KEY_COUNT];

  private final Map<Long, Integer> serverIndexById = new HashMap<>();
  private final long[] serverIds;
  private final BitSet[] cachedKeys;

  /** The nodes that sent reads to each server while the figures were counted. */
  private final BitSet[] requestingNodes;

  /** The times at which reads were sent to each restarted server in the last overload window. */
  private final List<ArrayDeque<Double>> coldSendSeconds = new ArrayList<>();

  /** The nodes that sent reads to each restarted server. */
  private final List<BitSet> coldRequestingNodes = new ArrayList<>();

  /** How many nodes sent their first read to each restarted server, by second since restart. */
  private final List<int[]> newCallersBySecond = new ArrayList<>();

  private double now;
  private boolean isCounting;

  /** The time at which the servers of the first zone restarted, infinite before the restart. */
  private double restartSeconds = Double.POSITIVE_INFINITY;

  private long countedReads;
  private long otherServerReads;
  private long rejectedReads;
  private long missedReads;
  private long decisionNanos;
  private double copiesPerKey;
  private double restartLoadRatio;
  private double maxNewCallersPerSecond;
  private int nextReadNumber;

  /** The endpoint list update after the restart of the first zone's servers. */
  private MembershipUpdate listUpdate;

  /** The reads sent by the current call of a router. */
  private final List<SentRead> sentReads = new ArrayList<>();

  private HollowFleet(FleetSize size, Phases simulationPhases, long seed) {
    this.size = size;
    this.simulationPhases = simulationPhases;
    this.random = new SplittableRandom(seed);
    routers = new RequestRouter[size.nodes()];
    serverIds = new long[size.servers()];
    cachedKeys = new BitSet[size.servers()];
    requestingNodes = new BitSet[size.servers()];
    for (int server = 0; server < size.servers(); server++) {
      serverIds[server] = HollowSettings.serverId(server);
      serverIndexById.put(serverIds[server], server);
      cachedKeys[server] = new BitSet(KEY_COUNT);
      requestingNodes[server] = new BitSet(size.nodes());
      coldSendSeconds.add(new ArrayDeque<>());
      coldRequestingNodes.add(new BitSet(size.nodes()));
      newCallersBySecond.add(new int[(int) Math.ceil(simulationPhases.restartedSeconds()) + 1]);
    }
    for (int node = 0; node < size.nodes(); node++) {
      routers[node] =
          new RequestRouter(
              HollowSettings.of(node, size, false), seed + node, new NodeActions(node));
      routers[node].onMembershipUpdate(now, createListUpdate(MembershipUpdate.Kind.FULL, 0));
    }
    idleRouter = new RequestRouter(HollowSettings.of(0, size, false), seed, new NodeActions(-1));
    idleRouter.onMembershipUpdate(now, createListUpdate(MembershipUpdate.Kind.FULL, 0));
    Arrays.fill(firstChoices, -1);
  }

  /** Simulates one fleet in all phases. */
  static Result simulate(FleetSize size, Phases simulationPhases, long seed) {
    long heapBytesBefore = measureUsedHeapBytes();
    HollowFleet fleet = new HollowFleet(size, simulationPhases, seed);
    fleet.run();
    fleet.events.clear();
    // The modelled caches do not count as memory of a node.
    Arrays.fill(fleet.cachedKeys, null);
    double bytesPerNode = (double) (measureUsedHeapBytes() - heapBytesBefore) / size.nodes();
    return fleet.createResult(bytesPerNode);
  }

  private static long measureUsedHeapBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /** Returns the entries of all servers, or for a delta those of the first zone. */
  private MembershipUpdate createListUpdate(MembershipUpdate.Kind kind, double startedAtSeconds) {
    List<ServerEntry> entries = new ArrayList<>();
    for (int server = 0; server < serverIds.length; server++) {
      boolean isInFirstZone = server % size.zones() == 0;
      if (kind == MembershipUpdate.Kind.FULL || isInFirstZone) {
        entries.add(HollowSettings.createEntry(server, size, startedAtSeconds));
      }
    }
    return new MembershipUpdate(kind, 1, entries);
  }

  private boolean isRestarted(int server) {
    return now >= restartSeconds && server % size.zones() == 0;
  }

  private void run() {
    double countedUntilSeconds =
        simulationPhases.warmUpSeconds() + simulationPhases.countedSeconds();
    runUntil(simulationPhases.warmUpSeconds());
    isCounting = true;
    runUntil(countedUntilSeconds);
    isCounting = false;
    copiesPerKey = meanCopiesPerKey();
    restartSeconds = countedUntilSeconds;
    for (int server = 0; server < serverIds.length; server++) {
      if (isRestarted(server)) {
        cachedKeys[server].clear();
      }
    }
    listUpdate = createListUpdate(MembershipUpdate.Kind.DELTA, restartSeconds);
    // Each node receives the update after its own random delay.
    for (int node = 0; node < routers.length; node++) {
      events.add(
          new Event(
              restartSeconds + random.nextDouble() * MAX_LIST_DELAY_SECONDS,
              node,
              null,
              -1,
              LIST_UPDATE_TOKEN,
              false));
    }
    runUntil(simulationPhases.totalSeconds());
  }

  private double meanCopiesPerKey() {
    BitSet keysOnAnyServer = new BitSet(KEY_COUNT);
    long copyCount = 0;
    for (BitSet keys : cachedKeys) {
      keysOnAnyServer.or(keys);
      copyCount += keys.cardinality();
    }
    return (double) copyCount / Math.max(1, keysOnAnyServer.cardinality());
  }

  private void runUntil(double untilSeconds) {
    double nextArrivalSeconds = now + drawInterarrivalSeconds();
    while (nextArrivalSeconds < untilSeconds
        || (!events.isEmpty() && events.peek().atSeconds < untilSeconds)) {
      if (!events.isEmpty() && events.peek().atSeconds <= nextArrivalSeconds) {
        Event event = events.poll();
        now = event.atSeconds;
        handle(event);
      } else if (nextArrivalSeconds < untilSeconds) {
        now = nextArrivalSeconds;
        nextArrivalSeconds = now + drawInterarrivalSeconds();
        issueRead();
      } else {
        break;
      }
    }
    now = untilSeconds;
  }

  private double drawInterarrivalSeconds() {
    return -Math.log(1 - random.nextDouble()) / size.perSecond();
  }

  private void issueRead() {
    int node = random.nextInt(routers.length);
    int keyNumber = (int) Math.exp(random.nextDouble() * Math.log(KEY_COUNT + 1)) - 1;
    String key = "k" + keyNumber;
    if (firstChoices[keyNumber] < 0) {
      idleRouter.onRequest(now, createRead(key, key));
      firstChoices[keyNumber] = sentReads.remove(0).server;
      idleRouter.onOutcome(now, createOutcome(key, firstChoices[keyNumber], false, 0));
    }
    String id = nextReadNumber++ + "k" + keyNumber;
    countedReads += isCounting ? 1 : 0;
    long startNanos = System.nanoTime();
    routers[node].onRequest(now, createRead(id, key));
    finishCall(startNanos);
  }

  private static Request createRead(String id, String key) {
    return new Request(id, key, "read", null, 2, 0, 0, false, false);
  }

  private Outcome createOutcome(String id, int server, boolean isMiss, double elapsedSeconds) {
    Outcome.CacheStatus cacheStatus = isMiss ? Outcome.CacheStatus.MISS : Outcome.CacheStatus.HIT;
    return new Outcome(
        id, 0, serverIds[server], Outcome.Result.OK, elapsedSeconds, true, cacheStatus, null);
  }

  private void handle(Event event) {
    if (event.token == LIST_UPDATE_TOKEN) {
      routers[event.node].onMembershipUpdate(now, listUpdate);
      return;
    }
    long startNanos = System.nanoTime();
    if (event.id == null) {
      routers[event.node].onTimer(now, event.token);
    } else {
      double elapsedSeconds = event.isMiss ? MISS_SECONDS : HIT_SECONDS;
      routers[event.node].onOutcome(
          now, createOutcome(event.id, event.server, event.isMiss, elapsedSeconds));
    }
    finishCall(startNanos);
  }

  /** Adds the processor time of a router call, and delivers the reads that the call sent. */
  private void finishCall(long startNanos) {
    decisionNanos += isCounting ? System.nanoTime() - startNanos : 0;
    sentReads.forEach(this::deliver);
    sentReads.clear();
  }

  private void deliver(SentRead read) {
    int keyNumber = Integer.parseInt(read.id, read.id.indexOf('k') + 1, read.id.length(), 10);
    int server = read.server;
    boolean isMiss = !cachedKeys[server].get(keyNumber);
    cachedKeys[server].set(keyNumber);
    if (isCounting) {
      otherServerReads += server == firstChoices[keyNumber] ? 0 : 1;
      missedReads += isMiss ? 1 : 0;
      requestingNodes[server].set(read.node);
    }
    if (isRestarted(server)) {
      recordColdSend(server, read.node);
    }
    double responseSeconds = isMiss ? MISS_SECONDS : HIT_SECONDS;
    events.add(new Event(now + responseSeconds, read.node, read.id, server, 0, isMiss));
  }

  /** Carries out the actions of one node's router, or of {@link #idleRouter} if node is -1. */
  private final class NodeActions extends NoOpRoutingActions {
    private final int node;

    NodeActions(int node) {
      this.node = node;
    }

    @Override
    public void send(String requestId, long serverId, double withinSeconds) {
      sentReads.add(new SentRead(node, requestId, serverIndexById.get(serverId)));
    }

    @Override
    public void reject(String requestId, double retryAfterSeconds) {
      rejectedReads += isCounting ? 1 : 0;
    }

    @Override
    public void fail(String requestId) {
      rejectedReads += isCounting ? 1 : 0;
    }

    @Override
    public void scheduleTimer(long token, double delaySeconds) {
      if ((token & HOLD_FLAG) != 0 && node >= 0) {
        events.add(new Event(now + delaySeconds, node, null, -1, token, false));
      }
    }
  }

  private void recordColdSend(int server, int node) {
    ArrayDeque<Double> sendSeconds = coldSendSeconds.get(server);
    sendSeconds.add(now);
    double windowSeconds = HollowSettings.OVERLOAD_SECONDS;
    while (sendSeconds.peek() < now - windowSeconds) {
      sendSeconds.poll();
    }
    double capacityPerSecond =
        HollowSettings.capacityPerSecond(size)
            * HollowSettings.slowStartRatio(now - restartSeconds);
    double maxSends = HollowSettings.OVERLOAD_RATIO * capacityPerSecond * windowSeconds;
    restartLoadRatio =
        Math.max(restartLoadRatio, sendSeconds.size() / (maxSends + 2 * Math.sqrt(maxSends) + 2));
    if (!coldRequestingNodes.get(server).get(node)) {
      coldRequestingNodes.get(server).set(node);
      int[] newCallers = newCallersBySecond.get(server);
      maxNewCallersPerSecond =
          Math.max(maxNewCallersPerSecond, ++newCallers[(int) (now - restartSeconds)]);
    }
  }

  private Result createResult(double bytesPerNode) {
    double nodeServerPairs = 0;
    for (BitSet nodesOfServer : requestingNodes) {
      nodeServerPairs += nodesOfServer.cardinality();
    }
    double countedReadsOrOne = Math.max(1, countedReads);
    return new Result(
        otherServerReads / countedReadsOrOne,
        rejectedReads / countedReadsOrOne,
        missedReads / countedReadsOrOne,
        copiesPerKey,
        decisionNanos / countedReadsOrOne / 1000,
        nodeServerPairs / serverIds.length,
        restartLoadRatio,
        maxNewCallersPerSecond,
        bytesPerNode);
  }
}
