package shalepaddle.capacity;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import shalepaddle.changefeed.ChangeEntry;
import shalepaddle.changefeed.ChangeFeedPublisher;
import shalepaddle.changefeed.ChangeFeedSubscriber;
import shalepaddle.changefeed.PublisherMessage;
import shalepaddle.changefeed.SubscriberMessage;

/**
 * Simulates hollow nodes that subscribe to the members of a group, with the production publisher
 * and subscriber, over links with delay, packet loss, one-way cuts and closed connections. The
 * simulation has virtual time, in nanoseconds, one thread and a fixed seed. It checks that nodes
 * apply the log in order, each entry once and without gaps, and in time while they are in contact.
 */
final class HollowFeed {
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final long SYN_RETRANSMIT_NANOS = SECOND_NANOS;
  private static final long TICK_NANOS = SECOND_NANOS / 10;
  private static final int PACKET_HEADER_BYTES = 52;
  private static final int FRAME_HEADER_BYTES = 24;
  private static final int ENTRY_HEADER_BYTES = 12;

  /** Delay of the first retransmission of a lost packet; the delay doubles each time. */
  private static final long RETRANSMIT_NANOS = SECOND_NANOS / 5;

  /** A node that has been in contact since an entry's commit must apply it within this time. */
  private static final long MAX_APPLY_NANOS = 5 * SECOND_NANOS;

  /**
   * The parameters of a simulation.
   *
   * @param nodes the number of subscribers
   * @param members the number of publishers
   * @param regions the number of regions, over which nodes and members are spread evenly
   * @param maxDelayNanos the longest one-way delay between two regions
   * @param packetLossRate the probability that a packet is lost
   * @param seconds how long entries are committed
   * @param subscribers creates the subscriber of each node
   */
  record Plan(
      int nodes,
      int members,
      int regions,
      long maxDelayNanos,
      double packetLossRate,
      double entriesPerSecond,
      int bodyBytes,
      int seconds,
      ChangeFeedPublisher.Limits limits,
      SubscriberFactory subscribers,
      long seed) {}

  interface SubscriberFactory {
    ChangeFeedSubscriber create(int node, long seed, long now, ChangeFeedSubscriber.Output output);
  }

  /** Returns a factory of production subscribers to this many members. */
  static SubscriberFactory subscriberFactory(int members) {
    return (node, seed, now, output) ->
        new ChangeFeedSubscriber(
            "g", "n" + node, members, seed, now, ChangeFeedSubscriber.Timeouts.DEFAULT, output);
  }

  /**
   * The result of a simulation. Delays are counted for nodes in contact.
   *
   * @param medianSeconds median delay from an entry's commit until a node has applied it
   * @param p99Seconds 99th percentile of this delay
   * @param maxSeconds the greatest such delay
   * @param bytesPerSecond bytes that a node sends and receives per second on average, with headers
   * @param nodeMicrosPerSecond processor time of a node's subscriber per second, on average
   * @param memberMicrosPerSecond processor time of a member's publisher per second, on average
   * @param maxSubscribers the greatest number of subscribers of one member
   * @param maxInFlightBytes the greatest number of bytes that one member had in flight
   * @param violations the first 20 violations of the feed's guarantees
   */
  record Result(
      double medianSeconds,
      double p99Seconds,
      double maxSeconds,
      double bytesPerSecond,
      double nodeMicrosPerSecond,
      double memberMicrosPerSecond,
      int maxSubscribers,
      long maxInFlightBytes,
      long snapshotCount,
      List<String> violations) {}

  /** One connection of a node to a member. */
  private final class Connection {
    final long id = ++connectionCount;
    final Node node;
    final Member member;
    final int incarnation;
    final long delayNanos;
    long nodeArrivalNanos;
    long memberArrivalNanos;
    boolean isClosed;

    Connection(Node node, Member member) {
      this.node = node;
      this.member = member;
      this.incarnation = member.incarnation;
      boolean isSameRegion = node.region == member.region;
      this.delayNanos =
          isSameRegion
              ? SECOND_NANOS / 1000
              : plan.maxDelayNanos / 4 + random.nextLong(1 + 3 * plan.maxDelayNanos / 4);
    }

    /** Whether neither end has closed the connection. */
    boolean isOpen() {
      return !isClosed && member.isAlive && member.incarnation == incarnation;
    }

    private long arrivalNanos(long previousArrivalNanos, long cutUntilNanos) {
      long atNanos = Math.max(now, cutUntilNanos) + delayNanos;
      if (cutUntilNanos > now) {
        atNanos += RETRANSMIT_NANOS + random.nextLong(SECOND_NANOS);
      }
      long retransmitNanos = RETRANSMIT_NANOS;
      for (; random.nextDouble() < plan.packetLossRate; retransmitNanos *= 2) {
        atNanos += retransmitNanos;
      }
      return Math.max(atNanos, previousArrivalNanos);
    }

    void sendToNode(PublisherMessage message) {
      node.wireBytes += encodedBytes(message);
      nodeArrivalNanos = arrivalNanos(nodeArrivalNanos, node.inboundCutUntilNanos[member.id]);
      schedule(nodeArrivalNanos, () -> node.receive(this, message));
    }

    void sendToMember(SubscriberMessage message) {
      node.wireBytes += PACKET_HEADER_BYTES + FRAME_HEADER_BYTES;
      memberArrivalNanos = arrivalNanos(memberArrivalNanos, node.outboundCutUntilNanos[member.id]);
      schedule(
          memberArrivalNanos,
          () -> {
            if (isOpen()) {
              long startNanos = System.nanoTime();
              member.publisher.received(now, id, message);
              member.cpuNanos += System.nanoTime() - startNanos;
            }
          });
    }

    /** Closes the node's end, and notifies the member unless the link to the member is cut. */
    void closeAtNode() {
      isClosed = true;
      if (node.outboundCutUntilNanos[member.id] <= now
          && member.isAlive
          && member.incarnation == incarnation) {
        schedule(Math.max(now + delayNanos, memberArrivalNanos), () -> member.onDisconnected(this));
      }
    }
  }

  private static int encodedBytes(PublisherMessage message) {
    int bytes = PACKET_HEADER_BYTES + FRAME_HEADER_BYTES;
    if (message instanceof PublisherMessage.Entries entries) {
      for (ChangeEntry entry : entries.entries()) {
        bytes += ENTRY_HEADER_BYTES + entry.body().length;
      }
    } else if (message instanceof PublisherMessage.Snapshot snapshot) {
      bytes += snapshot.state().length;
    }
    // Adds a header for each further packet; a packet carries up to 1,400 bytes.
    return bytes + bytes / 1400 * PACKET_HEADER_BYTES;
  }

  /** A member of the group, with its subscribers by connection id. */
  private final class Member implements ChangeFeedPublisher.Output {
    final int id;
    final int region;
    final Map<Long, Connection> subscribers = new HashMap<>();
    boolean isAlive = true;
    int incarnation;
    int appliedCount;

    /** Until this time no other member reaches this one, nor a node if the machine is lost. */
    long isolatedUntilNanos;

    long cpuNanos;
    int maxSubscribers;
    long maxInFlightBytes;
    ChangeFeedPublisher publisher;

    Member(int id) {
      this.id = id;
      this.region = id * plan.regions / plan.members;
      start();
    }

    void start() {
      publisher = new ChangeFeedPublisher("g", now, plan.limits, this);
      publisher.setLeaderKnown(now, true);
      subscribers.clear();
    }

    /** Applies this many of the committed entries. */
    void applyUpTo(int entryCount) {
      if (!isAlive) {
        return;
      }
      long startNanos = System.nanoTime();
      while (appliedCount < entryCount) {
        publisher.entryApplied(now, log.get(appliedCount++).entry());
      }
      cpuNanos += System.nanoTime() - startNanos;
      maxSubscribers = Math.max(maxSubscribers, publisher.subscriberCount());
    }

    @Override
    public void send(long connectionId, PublisherMessage message) {
      snapshotCount += message instanceof PublisherMessage.Snapshot ? 1 : 0;
      Connection target = subscribers.get(connectionId);
      if (target != null) {
        target.sendToNode(message);
      }
    }

    @Override
    public void close(long connectionId) {
      Connection removedConnection = subscribers.remove(connectionId);
      if (removedConnection != null && !removedConnection.isClosed) {
        schedule(
            Math.max(now + removedConnection.delayNanos, removedConnection.nodeArrivalNanos),
            () -> removedConnection.node.onDisconnected(removedConnection));
      }
    }

    @Override
    public PublisherMessage.Snapshot snapshot() {
      return new PublisherMessage.Snapshot(publisher.lastIndex(), new byte[2000]);
    }

    void onDisconnected(Connection connection) {
      if (subscribers.remove(connection.id) != null) {
        publisher.disconnected(connection.id);
      }
    }
  }

  /** A hollow node and its connection to a member. */
  private final class Node implements ChangeFeedSubscriber.Output {
    final int id;
    final int region;
    final long[] inboundCutUntilNanos = new long[plan.members];
    final long[] outboundCutUntilNanos = new long[plan.members];
    ChangeFeedSubscriber subscriber;
    Connection connection;
    long wireBytes;
    long cpuNanos;
    long appliedIndex;
    boolean isInContact;
    long contactChangedNanos;
    long pausedUntilNanos;

    Node(int id) {
      this.id = id;
      this.region = id % plan.regions;
      start();
    }

    /** Starts a new process, which has not applied any entry yet. */
    void start() {
      if (connection != null) {
        connection.closeAtNode();
        connection = null;
      }
      appliedIndex = 0;
      isInContact = false;
      contactChangedNanos = now;
      subscriber = plan.subscribers.create(id, random.nextLong(), now, this);
      scheduleTick();
    }

    /** Calls the subscriber now, or at the end of the pause if the process is paused. */
    void callSubscriber(Consumer<ChangeFeedSubscriber> call) {
      if (pausedUntilNanos > now) {
        schedule(pausedUntilNanos, () -> callSubscriber(call));
        return;
      }
      long startNanos = System.nanoTime();
      call.accept(subscriber);
      cpuNanos += System.nanoTime() - startNanos;
      scheduleTick();
    }

    private void scheduleTick() {
      ChangeFeedSubscriber currentSubscriber = subscriber;
      long tickNanos = currentSubscriber.nextTickNanos();
      schedule(
          Math.max(tickNanos, now),
          () -> {
            if (currentSubscriber == subscriber && currentSubscriber.nextTickNanos() <= now) {
              callSubscriber(s -> s.tick(now));
            }
          });
    }

    void receive(Connection source, PublisherMessage message) {
      if (source == connection && !source.isClosed) {
        callSubscriber(
            s -> {
              if (source == connection) {
                s.received(now, message);
              }
            });
      }
    }

    void onDisconnected(Connection source) {
      if (source == connection) {
        connection = null;
        source.isClosed = true;
        callSubscriber(s -> s.disconnected(now));
      }
    }

    @Override
    public void connect(int member) {
      close();
      Member targetMember = members.get(member);
      Connection newConnection = new Connection(this, targetMember);
      connection = newConnection;
      wireBytes += 3 * PACKET_HEADER_BYTES;
      if (inboundCutUntilNanos[member] > now
          || outboundCutUntilNanos[member] > now
          || (!targetMember.isAlive && targetMember.isolatedUntilNanos > now)) {
        // No packet comes back, and the subscriber's timeout ends the attempt.
        return;
      }
      long synDelayNanos = random.nextDouble() < 2 * plan.packetLossRate ? SYN_RETRANSMIT_NANOS : 0;
      if (!targetMember.isAlive) {
        schedule(now + 2 * newConnection.delayNanos, () -> onDisconnected(newConnection));
        return;
      }
      schedule(
          now + synDelayNanos + 2 * newConnection.delayNanos,
          () -> {
            if (newConnection != connection) {
              return;
            }
            if (!newConnection.isOpen()) {
              onDisconnected(newConnection);
              return;
            }
            targetMember.subscribers.put(newConnection.id, newConnection);
            callSubscriber(
                s -> {
                  if (newConnection == connection) {
                    s.connected(now);
                  }
                });
          });
    }

    @Override
    public void close() {
      if (connection != null) {
        connection.closeAtNode();
        connection = null;
      }
    }

    @Override
    public void send(SubscriberMessage message) {
      if (connection != null) {
        connection.sendToMember(message);
      }
    }

    @Override
    public void apply(ChangeEntry entry) {
      // Published entries have the indexes 2, 4, 6 ...
      int logPosition = (int) (entry.index() / 2) - 1;
      if (log.get(logPosition).previousIndex() != appliedIndex) {
        addViolation(
            "node %d applied entry %d after entry %d".formatted(id, entry.index(), appliedIndex));
      }
      advanceTo(entry.index());
    }

    @Override
    public boolean installSnapshot(long index, byte[] state) {
      advanceTo(index);
      return true;
    }

    private void advanceTo(long index) {
      if (index <= appliedIndex) {
        addViolation("node %d went back from entry %d to %d".formatted(id, appliedIndex, index));
      }
      for (int logPosition = (int) (appliedIndex / 2); logPosition < index / 2; logPosition++) {
        long delayNanos = now - log.get(logPosition).committedNanos();
        if (isInContact) {
          applyDelaysNanos.add(delayNanos);
          maxApplyDelaysNanos[logPosition] = Math.max(maxApplyDelaysNanos[logPosition], delayNanos);
        }
      }
      appliedIndex = index;
    }

    @Override
    public void contactChanged(boolean isInContact) {
      this.isInContact = isInContact;
      contactChangedNanos = now;
    }

    @Override
    public void rejected(int member, String reason) {}
  }

  private final Plan plan;
  private final SplittableRandom random;
  private final PriorityQueue<FeedEvent> events = new PriorityQueue<>();
  private final List<LoggedEntry> log = new ArrayList<>();
  private final List<Member> members = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();
  private final List<Long> applyDelaysNanos = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final long[] maxApplyDelaysNanos;
  private long now;
  private long nextSequenceNumber;
  private long connectionCount;
  private long snapshotCount;
  private long noLeaderUntilNanos;
  private int leaderId;

  HollowFeed(Plan plan) {
    this.plan = plan;
    this.random = new SplittableRandom(plan.seed);
    this.maxApplyDelaysNanos = new long[(int) (plan.seconds * plan.entriesPerSecond) + 2];
    for (int member = 0; member < plan.members; member++) {
      members.add(new Member(member));
    }
    for (int node = 0; node < plan.nodes; node++) {
      nodes.add(new Node(node));
    }
    schedule(TICK_NANOS, this::tick);
  }

  private void schedule(long atNanos, Runnable action) {
    events.add(new FeedEvent(Math.max(atNanos, now), nextSequenceNumber++, action));
  }

  private void addViolation(String violation) {
    if (violations.size() < 20) {
      violations.add("%.3f s: ".formatted(now / 1e9) + violation);
    }
  }

  private void tick() {
    for (Member member : members) {
      if (member.isAlive) {
        long startNanos = System.nanoTime();
        member.publisher.setLeaderKnown(
            now, member.isolatedUntilNanos <= now && noLeaderUntilNanos <= now);
        member.publisher.tick(now);
        member.cpuNanos += System.nanoTime() - startNanos;
        member.maxInFlightBytes =
            Math.max(member.maxInFlightBytes, member.publisher.inFlightBytes());
      }
    }
    schedule(now + TICK_NANOS, this::tick);
  }

  /** Commits an entry now, or after the election, since a group without a leader commits none. */
  private void commitEntry() {
    if (noLeaderUntilNanos > now || !members.get(leaderId).isAlive) {
      schedule(Math.max(noLeaderUntilNanos, now + TICK_NANOS), this::commitEntry);
      return;
    }
    long previousIndex = log.isEmpty() ? 0 : log.get(log.size() - 1).entry().index();
    // Every second index of the log belongs to an entry that is not published.
    ChangeEntry entry = new ChangeEntry(previousIndex + 2, new byte[plan.bodyBytes]);
    log.add(new LoggedEntry(entry, previousIndex, now));
    int count = log.size();
    for (Member member : members) {
      long delayNanos =
          member.id == leaderId
              ? 0
              : plan.maxDelayNanos / 4 + random.nextLong(1 + plan.maxDelayNanos);
      schedule(
          Math.max(now + delayNanos, member.isolatedUntilNanos), () -> receiveLog(member, count));
    }
    long committedNanos = now;
    schedule(
        now + MAX_APPLY_NANOS,
        () -> {
          for (Node node : nodes) {
            boolean wasInContact = node.isInContact && node.contactChangedNanos <= committedNanos;
            if (wasInContact && node.pausedUntilNanos <= now && node.appliedIndex < entry.index()) {
              addViolation(
                  "node %d is in contact and lacks entry %d".formatted(node.id, entry.index()));
            }
          }
        });
  }

  private void receiveLog(Member member, int entryCount) {
    if (member.isolatedUntilNanos > now) {
      schedule(member.isolatedUntilNanos, () -> receiveLog(member, entryCount));
    } else {
      member.applyUpTo(entryCount);
    }
  }

  /** Makes a member's machine unreachable for a duration; the member then restarts with its log. */
  void loseMember(long atNanos, int member, long durationNanos) {
    schedule(atNanos, () -> stopMember(members.get(member), durationNanos, true));
  }

  /** Kills a member's process, which restarts with its log after a duration. */
  void killMember(long atNanos, int member, long durationNanos) {
    schedule(atNanos, () -> stopMember(members.get(member), durationNanos, false));
  }

  private void stopMember(Member member, long durationNanos, boolean isUnreachable) {
    if (!member.isAlive) {
      return;
    }
    member.isAlive = false;
    member.incarnation++;
    member.isolatedUntilNanos = isUnreachable ? now + durationNanos : 0;
    if (!isUnreachable) {
      for (Connection connection : List.copyOf(member.subscribers.values())) {
        schedule(now + connection.delayNanos, () -> connection.node.onDisconnected(connection));
      }
    }
    if (member.id == leaderId) {
      noLeaderUntilNanos = now + SECOND_NANOS + random.nextLong(SECOND_NANOS / 2);
      leaderId = (leaderId + 1) % plan.members;
    }
    schedule(
        now + durationNanos,
        () -> {
          member.isAlive = true;
          member.isolatedUntilNanos = 0;
          member.start();
          // The member's disk lacks the last 3 entries; other members send them 0.5 s later.
          int storedCount = member.appliedCount;
          member.appliedCount = 0;
          member.applyUpTo(Math.max(0, storedCount - 3));
          schedule(now + SECOND_NANOS / 2, () -> member.applyUpTo(log.size()));
        });
  }

  /** Isolates a member from the other members, but not from subscribers, for a duration. */
  void isolateMember(long atNanos, int member, long durationNanos) {
    schedule(
        atNanos,
        () -> {
          Member target = members.get(member);
          if (target.isAlive && member != leaderId) {
            target.isolatedUntilNanos = Math.max(target.isolatedUntilNanos, now + durationNanos);
          }
        });
  }

  /** Cuts links of a region's nodes to and/or from a member, or all members if member is -1. */
  void cutRegion(
      long atNanos, int region, int member, boolean cutsTo, boolean cutsFrom, long durationNanos) {
    schedule(
        atNanos,
        () -> {
          for (Node node : nodes) {
            for (int id = 0; id < plan.members && node.region == region; id++) {
              if (member < 0 || member == id) {
                node.outboundCutUntilNanos[id] =
                    cutsTo ? now + durationNanos : node.outboundCutUntilNanos[id];
                node.inboundCutUntilNanos[id] =
                    cutsFrom ? now + durationNanos : node.inboundCutUntilNanos[id];
              }
            }
          }
        });
  }

  void pauseNode(long atNanos, int node, long durationNanos) {
    schedule(
        atNanos,
        () -> {
          Node pausedNode = nodes.get(node);
          pausedNode.pausedUntilNanos = Math.max(pausedNode.pausedUntilNanos, now + durationNanos);
        });
  }

  void restartNode(long atNanos, int node) {
    schedule(
        atNanos,
        () -> {
          nodes.get(node).pausedUntilNanos = 0;
          nodes.get(node).start();
        });
  }

  /** Runs the simulation, then a time without new entries, in which nodes catch up. */
  Result simulate(long settleNanos) {
    long periodNanos = (long) (SECOND_NANOS / plan.entriesPerSecond);
    int totalEntries = (int) (plan.seconds * plan.entriesPerSecond);
    for (int i = 0; i < totalEntries; i++) {
      schedule(SECOND_NANOS + i * periodNanos + random.nextLong(periodNanos), this::commitEntry);
    }
    long endNanos = (plan.seconds + 1) * SECOND_NANOS + settleNanos;
    while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
      FeedEvent event = events.poll();
      now = event.atNanos();
      event.action().run();
    }
    now = endNanos;
    long lastIndex = log.get(log.size() - 1).entry().index();
    for (Node node : nodes) {
      if (node.appliedIndex != lastIndex || !node.isInContact) {
        addViolation(
            "node %d ended at entry %d of %d".formatted(node.id, node.appliedIndex, lastIndex));
      }
    }
    return createResult();
  }

  private double percentileSeconds(double fraction) {
    return applyDelaysNanos.isEmpty()
        ? 0
        : applyDelaysNanos.get((int) (fraction * (applyDelaysNanos.size() - 1))) / 1e9;
  }

  private Result createResult() {
    Collections.sort(applyDelaysNanos);
    long maxApplyDelayNanos = 0;
    for (long entryDelayNanos : maxApplyDelaysNanos) {
      maxApplyDelayNanos = Math.max(maxApplyDelayNanos, entryDelayNanos);
    }
    double seconds = now / 1e9;
    double bytes = nodes.stream().mapToLong(node -> node.wireBytes).sum();
    double nodeNanos = nodes.stream().mapToLong(node -> node.cpuNanos).sum();
    double memberNanos = members.stream().mapToLong(member -> member.cpuNanos).sum();
    return new Result(
        percentileSeconds(0.5),
        percentileSeconds(0.99),
        maxApplyDelayNanos / 1e9,
        bytes / plan.nodes / seconds,
        nodeNanos / 1000 / plan.nodes / seconds,
        memberNanos / 1000 / plan.members / seconds,
        members.stream().mapToInt(member -> member.maxSubscribers).max().orElse(0),
        members.stream().mapToLong(member -> member.maxInFlightBytes).max().orElse(0),
        snapshotCount,
        violations);
  }
}
