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
 * Hollow nodes: the real decisions of many balancers before servers that are a set of keys and a
 * time to answer each. Virtual time, one thread, a fixed seed. First the caches fill, then it is
 * counted, then a zone's servers start anew and cold, and what all nodes together send them is set
 * against rule 4.
 */
final class HollowFleet {
  /** Keys that are asked for, by Zipf's law with an exponent of one (assumed). */
  static final int KEYS = 1 << 18;

  /** Seconds in which a server answers what it holds, and what it has to fetch (assumed). */
  private static final double HIT_SECONDS = 0.048;

  private static final double MISS_SECONDS = 0.15;

  /** Seconds over which nodes hear of a change of the list (assumed). */
  private static final double TOLD_WITHIN = 1;

  /** Timers of single requests, which all are answered in time here, are even and not zero. */
  private static final long HELD = 1;

  /** No balancer sets it: the node hears of a change of the list. */
  private static final long NEWS = Long.MIN_VALUE;

  /**
   * What was counted.
   *
   * @param awayPart of the reads, those that went to another server than the key's first
   * @param refusedPart those that were refused
   * @param missPart those that a server did not hold
   * @param copies servers that hold a key, in the mean over the keys that any holds
   * @param microsPerRead processor time of the decisions on a read
   * @param nodesPerServer nodes that asked a server within the time that was counted, the mean
   * @param coldPart the most that a cold server got within the contract's window, as a part of what
   *     pushes it over by rule 4, with its allowance for chance
   * @param coldCallers the most nodes that asked one cold server for the first time in one second
   * @param bytesPerNode heap that a node holds
   */
  record Counted(
      double awayPart,
      double refusedPart,
      double missPart,
      double copies,
      double microsPerRead,
      double nodesPerServer,
      double coldPart,
      double coldCallers,
      double bytesPerNode) {}

  /** How long each part of a play takes, in seconds. */
  record Parts(double warm, double counted, double cold) {
    double all() {
      return warm + counted + cold;
    }
  }

  /** A read that a node has sent. Its id ends in its key: it may have waited since it was asked. */
  private record Sent(int node, String id, int server) {}

  /** An answer that comes, or a timer that is due. */
  private record Event(double at, int node, String id, int server, long token, boolean miss) {}

  private final FleetSize size;
  private final Parts parts;
  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));
  private final RequestRouter[] nodes;

  /** Learns each key's first server: it is idle, and so sends nothing anywhere else. */
  private final RequestRouter idle;

  private final int[] homes = new int[KEYS];
  private final Map<Long, Integer> numbers = new HashMap<>();
  private final long[] ids;
  private final BitSet[] held;
  private final BitSet[] askers;
  private final List<ArrayDeque<Double>> coldSends = new ArrayList<>();
  private final List<BitSet> coldAskers = new ArrayList<>();
  private final List<int[]> coldCalls = new ArrayList<>();
  private double now;
  private boolean counting;

  /** When the cold ones started, infinite before. */
  private double coldAt = Double.POSITIVE_INFINITY;

  private long reads;
  private long away;
  private long refused;
  private long misses;
  private long busyNanos;
  private double copies;
  private double coldPart;
  private double coldCallers;
  private int serial;

  /** What nodes are told of the cold servers' start. */
  private MembershipUpdate news;

  /** What the call to a node's decisions that is under way has sent. */
  private final List<Sent> sent = new ArrayList<>();

  private HollowFleet(FleetSize size, Parts parts, long seed) {
    this.size = size;
    this.parts = parts;
    this.random = new SplittableRandom(seed);
    nodes = new RequestRouter[size.nodes()];
    ids = new long[size.servers()];
    held = new BitSet[size.servers()];
    askers = new BitSet[size.servers()];
    for (int server = 0; server < size.servers(); server++) {
      ids[server] = HollowSettings.id(server);
      numbers.put(ids[server], server);
      held[server] = new BitSet(KEYS);
      askers[server] = new BitSet(size.nodes());
      coldSends.add(new ArrayDeque<>());
      coldAskers.add(new BitSet(size.nodes()));
      coldCalls.add(new int[(int) Math.ceil(parts.cold()) + 1]);
    }
    for (int node = 0; node < size.nodes(); node++) {
      nodes[node] =
          new RequestRouter(HollowSettings.of(node, size, false), seed + node, new Carried(node));
      nodes[node].onMembershipUpdate(now, list(MembershipUpdate.Kind.FULL, 0));
    }
    idle = new RequestRouter(HollowSettings.of(0, size, false), seed, new Carried(-1));
    idle.onMembershipUpdate(now, list(MembershipUpdate.Kind.FULL, 0));
    Arrays.fill(homes, -1);
  }

  /** Plays one fleet. */
  static Counted play(FleetSize size, Parts parts, long seed) {
    long before = usedHeap();
    HollowFleet fleet = new HollowFleet(size, parts, seed);
    fleet.play();
    fleet.events.clear();
    // What stands for servers is no node's.
    Arrays.fill(fleet.held, null);
    double bytes = (double) (usedHeap() - before) / size.nodes();
    return fleet.counted(bytes);
  }

  private static long usedHeap() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /** The servers of the first zone, or all of them. */
  private MembershipUpdate list(MembershipUpdate.Kind kind, double startedAt) {
    List<ServerEntry> entries = new ArrayList<>();
    for (int server = 0; server < ids.length; server++) {
      boolean first = server % size.zones() == 0;
      if (kind == MembershipUpdate.Kind.FULL || first) {
        entries.add(HollowSettings.entry(server, size, startedAt));
      }
    }
    return new MembershipUpdate(kind, 1, entries);
  }

  private boolean cold(int server) {
    return now >= coldAt && server % size.zones() == 0;
  }

  private void play() {
    double end = parts.warm() + parts.counted();
    run(parts.warm());
    counting = true;
    run(end);
    counting = false;
    copies = copies();
    coldAt = end;
    for (int server = 0; server < ids.length; server++) {
      if (cold(server)) {
        held[server].clear();
      }
    }
    news = list(MembershipUpdate.Kind.DELTA, coldAt);
    // Each node hears of it at a time of its own: a timer that no balancer has set.
    for (int node = 0; node < nodes.length; node++) {
      events.add(
          new Event(coldAt + random.nextDouble() * TOLD_WITHIN, node, null, -1, NEWS, false));
    }
    run(parts.all());
  }

  private double copies() {
    BitSet any = new BitSet(KEYS);
    long all = 0;
    for (BitSet keys : held) {
      any.or(keys);
      all += keys.cardinality();
    }
    return (double) all / Math.max(1, any.cardinality());
  }

  private void run(double until) {
    double next = now + gap();
    while (next < until || (!events.isEmpty() && events.peek().at < until)) {
      if (!events.isEmpty() && events.peek().at <= next) {
        Event event = events.poll();
        now = event.at;
        happens(event);
      } else if (next < until) {
        now = next;
        next = now + gap();
        ask();
      } else {
        break;
      }
    }
    now = until;
  }

  private double gap() {
    return -Math.log(1 - random.nextDouble()) / size.perSecond();
  }

  private void ask() {
    int node = random.nextInt(nodes.length);
    int number = (int) Math.exp(random.nextDouble() * Math.log(KEYS + 1)) - 1;
    String key = "k" + number;
    if (homes[number] < 0) {
      idle.onRequest(now, read(key, key));
      homes[number] = sent.remove(0).server;
      idle.onOutcome(now, outcome(key, homes[number], false, 0));
    }
    String id = serial++ + "k" + number;
    reads += counting ? 1 : 0;
    long began = System.nanoTime();
    nodes[node].onRequest(now, read(id, key));
    spent(began);
  }

  private static Request read(String id, String key) {
    return new Request(id, key, "read", null, 2, 0, 0, false, false);
  }

  private Outcome outcome(String id, int server, boolean miss, double elapsed) {
    Outcome.CacheStatus note = miss ? Outcome.CacheStatus.MISS : Outcome.CacheStatus.HIT;
    return new Outcome(id, 0, ids[server], Outcome.Result.OK, elapsed, true, note, null);
  }

  private void happens(Event event) {
    if (event.token == NEWS) {
      nodes[event.node].onMembershipUpdate(now, news);
      return;
    }
    long began = System.nanoTime();
    if (event.id == null) {
      nodes[event.node].onTimer(now, event.token);
    } else {
      double elapsed = event.miss ? MISS_SECONDS : HIT_SECONDS;
      nodes[event.node].onOutcome(now, outcome(event.id, event.server, event.miss, elapsed));
    }
    spent(began);
  }

  /** The decisions are made; what they sent goes its way. */
  private void spent(long began) {
    busyNanos += counting ? System.nanoTime() - began : 0;
    sent.forEach(this::goes);
    sent.clear();
  }

  private void goes(Sent read) {
    int key = Integer.parseInt(read.id, read.id.indexOf('k') + 1, read.id.length(), 10);
    int server = read.server;
    boolean miss = !held[server].get(key);
    held[server].set(key);
    if (counting) {
      away += server == homes[key] ? 0 : 1;
      misses += miss ? 1 : 0;
      askers[server].set(read.node);
    }
    if (cold(server)) {
      sentCold(server, read.node);
    }
    double takes = miss ? MISS_SECONDS : HIT_SECONDS;
    events.add(new Event(now + takes, read.node, read.id, server, 0, miss));
  }

  /** What one node's decisions lead to. */
  private final class Carried extends HollowActions {
    private final int node;

    Carried(int node) {
      this.node = node;
    }

    @Override
    public void send(String requestId, long id, double within) {
      sent.add(new Sent(node, requestId, numbers.get(id)));
    }

    @Override
    public void reject(String requestId, double retryAfter) {
      refused += counting ? 1 : 0;
    }

    @Override
    public void fail(String requestId) {
      refused += counting ? 1 : 0;
    }

    @Override
    public void scheduleTimer(long token, double delay) {
      if ((token & HELD) != 0 && node >= 0) {
        events.add(new Event(now + delay, node, null, -1, token, false));
      }
    }
  }

  private void sentCold(int server, int node) {
    ArrayDeque<Double> sends = coldSends.get(server);
    sends.add(now);
    double window = HollowSettings.OVERLOAD_FOR;
    while (sends.peek() < now - window) {
      sends.poll();
    }
    double able = HollowSettings.capacity(size) * HollowSettings.warmth(now - coldAt);
    double allowed = HollowSettings.OVERLOAD_FACTOR * able * window;
    coldPart = Math.max(coldPart, sends.size() / (allowed + 2 * Math.sqrt(allowed) + 2));
    if (!coldAskers.get(server).get(node)) {
      coldAskers.get(server).set(node);
      int[] calls = coldCalls.get(server);
      coldCallers = Math.max(coldCallers, ++calls[(int) (now - coldAt)]);
    }
  }

  private Counted counted(double bytesPerNode) {
    double pairs = 0;
    for (BitSet nodesOfServer : askers) {
      pairs += nodesOfServer.cardinality();
    }
    double all = Math.max(1, reads);
    return new Counted(
        away / all,
        refused / all,
        misses / all,
        copies,
        busyNanos / all / 1000,
        pairs / ids.length,
        coldPart,
        coldCallers,
        bytesPerNode);
  }
}
