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
 * Many hollow nodes that follow the members of a group, with the real decisions on both sides, over
 * links of a network that delays, loses, cuts one way and breaks. Virtual time, one thread, a fixed
 * seed. What a node takes is held against the log: nothing twice or backwards, no hole, and within
 * the bound at each that was in contact.
 */
final class HollowFeed {
  private static final long SECOND = 1_000_000_000L;

  /** A lost packet is sent again after so long, on a connection that is up, and on a new one. */
  private static final long AGAIN_NANOS = SECOND / 5;

  private static final long AGAIN_NEW_NANOS = SECOND;

  /** Bytes of a packet's headers, and of a message beside its bodies. */
  private static final int PACKET_BYTES = 52;

  private static final int FRAME_BYTES = 24;
  private static final int ENTRY_BYTES = 12;

  /** When a node that was in contact all the time must have an entry. */
  private static final long BOUND = 5 * SECOND;

  private static final long TICK = SECOND / 10;

  /**
   * What is played.
   *
   * @param nodes that follow
   * @param members that publish
   * @param regions over which both are spread
   * @param betweenNanos one way between two regions, at the most
   * @param loss of a packet, as a part
   * @param perSecond entries that are agreed on
   * @param bodyBytes of each
   * @param seconds for which entries come
   * @param limits of the publishers
   * @param followers makes the decisions of a node
   */
  record Plan(
      int nodes,
      int members,
      int regions,
      long betweenNanos,
      double loss,
      double perSecond,
      int bodyBytes,
      int seconds,
      ChangeFeedPublisher.Limits limits,
      Followers followers,
      long seed) {}

  /** Makes the decisions of a node. */
  interface Followers {
    ChangeFeedSubscriber make(int node, long seed, long now, ChangeFeedSubscriber.Output carrier);
  }

  /** The decisions that are built, before so many members. */
  static Followers real(int members) {
    return (node, seed, now, carrier) ->
        new ChangeFeedSubscriber(
            "g", "n" + node, members, seed, now, ChangeFeedSubscriber.Timeouts.DEFAULT, carrier);
  }

  /**
   * What was counted.
   *
   * @param medianSeconds from an entry's yes until a node in contact has it, over all of both
   * @param ninetyNinthSeconds the same, of 99 in 100
   * @param lastSeconds the greatest, over entries, of the time until the last node had it
   * @param bytesPerSecond to and from a node, headers included
   * @param nodeMicros processor time of a node's decisions in a second
   * @param memberMicros the same of a member's
   * @param mostFollowers of one member
   * @param mostOutBytes that were on their way from one member
   * @param snapshots that were sent
   * @param breaches of what must hold
   */
  record Counted(
      double medianSeconds,
      double ninetyNinthSeconds,
      double lastSeconds,
      double bytesPerSecond,
      double nodeMicros,
      double memberMicros,
      int mostFollowers,
      long mostOutBytes,
      long snapshots,
      List<String> breaches) {}

  private record Event(long at, long order, Runnable what) {}

  private record Logged(ChangeEntry entry, long before, long at) {}

  /** One connection of a node to a member. */
  private final class Connection {
    final long number = ++connections;
    final Node node;
    final Member member;
    final int life;
    final long delay;
    long lastDown;
    long lastUp;
    boolean ended;

    Connection(Node node, Member member) {
      this.node = node;
      this.member = member;
      this.life = member.life;
      boolean near = node.region == member.region;
      this.delay =
          near
              ? SECOND / 1000
              : plan.betweenNanos / 4 + random.nextLong(1 + 3 * plan.betweenNanos / 4);
    }

    /** Whether both ends still hold it. */
    boolean stands() {
      return !ended && member.alive && member.life == life;
    }

    private long arrival(long last, long cutUntil) {
      long at = Math.max(now, cutUntil) + delay;
      if (cutUntil > now) {
        at += AGAIN_NANOS + random.nextLong(SECOND);
      }
      for (long again = AGAIN_NANOS; random.nextDouble() < plan.loss; again *= 2) {
        at += again;
      }
      return Math.max(at, last);
    }

    void down(PublisherMessage told) {
      node.bytes += bytes(told);
      lastDown = arrival(lastDown, node.cutFrom[member.number]);
      at(lastDown, () -> node.comes(this, told));
    }

    void up(SubscriberMessage said) {
      node.bytes += PACKET_BYTES + FRAME_BYTES;
      lastUp = arrival(lastUp, node.cutTo[member.number]);
      at(
          lastUp,
          () -> {
            if (stands()) {
              long began = System.nanoTime();
              member.publisher.received(now, number, said);
              member.nanos += System.nanoTime() - began;
            }
          });
    }

    /** The node lets go of it; the member hears of that if anything comes through. */
    void closedByNode() {
      ended = true;
      if (node.cutTo[member.number] <= now && member.alive && member.life == life) {
        at(Math.max(now + delay, lastUp), () -> member.hearsOfEnd(this));
      }
    }
  }

  private static int bytes(PublisherMessage told) {
    int bytes = PACKET_BYTES + FRAME_BYTES;
    if (told instanceof PublisherMessage.Entries entries) {
      for (ChangeEntry entry : entries.entries()) {
        bytes += ENTRY_BYTES + entry.body().length;
      }
    } else if (told instanceof PublisherMessage.Snapshot snapshot) {
      bytes += snapshot.state().length;
    }
    // One header for each packet of 1,400 bytes.
    return bytes + bytes / 1400 * PACKET_BYTES;
  }

  /** A member of the group: its part of the log, and who follows it. */
  private final class Member implements ChangeFeedPublisher.Output {
    final int number;
    final int region;
    final Map<Long, Connection> followers = new HashMap<>();
    boolean alive = true;
    int life;
    int applied;
    long behindUntil;
    long nanos;
    int mostFollowers;
    long mostOutBytes;
    ChangeFeedPublisher publisher;

    Member(int number) {
      this.number = number;
      this.region = number * plan.regions / plan.members;
      begins();
    }

    void begins() {
      publisher = new ChangeFeedPublisher("g", now, plan.limits, this);
      publisher.setLeaderKnown(now, true);
      followers.clear();
    }

    /** Applies what the group has agreed on, up to there. */
    void learns(int upTo) {
      if (!alive) {
        return;
      }
      long began = System.nanoTime();
      while (applied < upTo) {
        publisher.entryApplied(now, log.get(applied++).entry);
      }
      nanos += System.nanoTime() - began;
      mostFollowers = Math.max(mostFollowers, publisher.subscriberCount());
    }

    @Override
    public void send(long connection, PublisherMessage told) {
      snapshots += told instanceof PublisherMessage.Snapshot ? 1 : 0;
      Connection to = followers.get(connection);
      if (to != null) {
        to.down(told);
      }
    }

    @Override
    public void close(long connection) {
      Connection dropped = followers.remove(connection);
      if (dropped != null && !dropped.ended) {
        at(
            Math.max(now + dropped.delay, dropped.lastDown),
            () -> dropped.node.connectionEnded(dropped));
      }
    }

    @Override
    public PublisherMessage.Snapshot snapshot() {
      return new PublisherMessage.Snapshot(publisher.lastIndex(), new byte[2000]);
    }

    void hearsOfEnd(Connection connection) {
      if (followers.remove(connection.number) != null) {
        publisher.disconnected(connection.number);
      }
    }
  }

  /** A node. */
  private final class Node implements ChangeFeedSubscriber.Output {
    final int number;
    final int region;
    final long[] cutFrom = new long[plan.members];
    final long[] cutTo = new long[plan.members];
    ChangeFeedSubscriber follower;
    Connection connection;
    long bytes;
    long nanos;

    /** The last entry that is in force here, by the log, and when contact began or ended. */
    long inForce;

    boolean contact;
    long contactSince;
    long stoppedUntil;

    Node(int number) {
      this.number = number;
      this.region = number % plan.regions;
      begins();
    }

    /** A new process: it knows nothing. */
    void begins() {
      if (connection != null) {
        connection.closedByNode();
        connection = null;
      }
      inForce = 0;
      contact = false;
      contactSince = now;
      follower = plan.followers.make(number, random.nextLong(), now, this);
      arm();
    }

    /** Runs it, or lets it wait until it goes on. */
    void run(Consumer<ChangeFeedSubscriber> what) {
      if (stoppedUntil > now) {
        at(stoppedUntil, () -> run(what));
        return;
      }
      long began = System.nanoTime();
      what.accept(follower);
      nanos += System.nanoTime() - began;
      arm();
    }

    private void arm() {
      ChangeFeedSubscriber present = follower;
      long due = present.nextTickNanos();
      at(
          Math.max(due, now),
          () -> {
            if (present == follower && present.nextTickNanos() <= now) {
              run(f -> f.tick(now));
            }
          });
    }

    void comes(Connection from, PublisherMessage told) {
      if (from == connection && !from.ended) {
        run(
            f -> {
              if (from == connection) {
                f.received(now, told);
              }
            });
      }
    }

    void connectionEnded(Connection ended) {
      if (ended == connection) {
        connection = null;
        ended.ended = true;
        run(f -> f.disconnected(now));
      }
    }

    @Override
    public void connect(int member) {
      close();
      Member to = members.get(member);
      Connection made = new Connection(this, to);
      connection = made;
      bytes += 3 * PACKET_BYTES;
      if (cutFrom[member] > now || cutTo[member] > now || (!to.alive && to.behindUntil > now)) {
        // Nothing comes back.
        return;
      }
      long syn = random.nextDouble() < 2 * plan.loss ? AGAIN_NEW_NANOS : 0;
      if (!to.alive) {
        at(now + 2 * made.delay, () -> connectionEnded(made));
        return;
      }
      at(
          now + syn + 2 * made.delay,
          () -> {
            if (made != connection) {
              return;
            }
            if (!made.stands()) {
              connectionEnded(made);
              return;
            }
            to.followers.put(made.number, made);
            run(
                f -> {
                  if (made == connection) {
                    f.connected(now);
                  }
                });
          });
    }

    @Override
    public void close() {
      if (connection != null) {
        connection.closedByNode();
        connection = null;
      }
    }

    @Override
    public void send(SubscriberMessage said) {
      if (connection != null) {
        connection.up(said);
      }
    }

    @Override
    public void apply(ChangeEntry entry) {
      int place = (int) (entry.index() / 2) - 1;
      if (log.get(place).before != inForce) {
        breach("node %d has entry %d after %d".formatted(number, entry.index(), inForce));
      }
      takes(entry.index());
    }

    @Override
    public boolean installSnapshot(long index, byte[] image) {
      takes(index);
      return true;
    }

    private void takes(long index) {
      if (index <= inForce) {
        breach("node %d goes back from %d to %d".formatted(number, inForce, index));
      }
      for (int place = (int) (inForce / 2); place < index / 2; place++) {
        long took = now - log.get(place).at;
        if (contact) {
          times.add(took);
          last[place] = Math.max(last[place], took);
        }
      }
      inForce = index;
    }

    @Override
    public void contactChanged(boolean in) {
      contact = in;
      contactSince = now;
    }

    @Override
    public void rejected(int member, String why) {}
  }

  private final Plan plan;
  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final List<Logged> log = new ArrayList<>();
  private final List<Member> members = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();
  private final List<Long> times = new ArrayList<>();
  private final List<String> breaches = new ArrayList<>();
  private final long[] last;
  private long now;
  private long order;
  private long connections;
  private long snapshots;

  /** Nothing is agreed on until then. */
  private long noLeaderUntil;

  private int leader;

  HollowFeed(Plan plan) {
    this.plan = plan;
    this.random = new SplittableRandom(plan.seed);
    this.last = new long[(int) (plan.seconds * plan.perSecond) + 2];
    for (int member = 0; member < plan.members; member++) {
      members.add(new Member(member));
    }
    for (int node = 0; node < plan.nodes; node++) {
      nodes.add(new Node(node));
    }
    at(TICK, this::tick);
  }

  private void at(long time, Runnable what) {
    events.add(new Event(Math.max(time, now), order++, what));
  }

  private void breach(String text) {
    if (breaches.size() < 20) {
      breaches.add("%.3f s: ".formatted(now / 1e9) + text);
    }
  }

  private void tick() {
    for (Member member : members) {
      if (member.alive) {
        long began = System.nanoTime();
        member.publisher.setLeaderKnown(now, member.behindUntil <= now && noLeaderUntil <= now);
        member.publisher.tick(now);
        member.nanos += System.nanoTime() - began;
        member.mostOutBytes = Math.max(member.mostOutBytes, member.publisher.inFlightBytes());
      }
    }
    at(now + TICK, this::tick);
  }

  /** An entry is agreed on: its yes is given now. */
  private void agree() {
    if (noLeaderUntil > now || !members.get(leader).alive) {
      at(Math.max(noLeaderUntil, now + TICK), this::agree);
      return;
    }
    long before = log.isEmpty() ? 0 : log.get(log.size() - 1).entry.index();
    // Every second place of the log is none of the feed's.
    ChangeEntry entry = new ChangeEntry(before + 2, new byte[plan.bodyBytes]);
    log.add(new Logged(entry, before, now));
    int upTo = log.size();
    for (Member member : members) {
      long delay =
          member.number == leader
              ? 0
              : plan.betweenNanos / 4 + random.nextLong(1 + plan.betweenNanos);
      at(Math.max(now + delay, member.behindUntil), () -> hears(member, upTo));
    }
    long agreedAt = now;
    at(
        now + BOUND,
        () -> {
          for (Node node : nodes) {
            boolean all = node.contact && node.contactSince <= agreedAt && node.stoppedUntil <= now;
            if (all && node.inForce < entry.index()) {
              breach(
                  "node %d is in contact and lacks entry %d".formatted(node.number, entry.index()));
            }
          }
        });
  }

  private void hears(Member member, int upTo) {
    if (member.behindUntil > now) {
      at(member.behindUntil, () -> hears(member, upTo));
    } else {
      member.learns(upTo);
    }
  }

  // What may go wrong.

  /** A member's machine vanishes without a word, for so long; it comes back with its log. */
  void vanish(long time, int member, long nanos) {
    at(time, () -> end(members.get(member), nanos, true));
  }

  /** A member's process is killed, for so long. */
  void kill(long time, int member, long nanos) {
    at(time, () -> end(members.get(member), nanos, false));
  }

  private void end(Member member, long nanos, boolean silent) {
    if (!member.alive) {
      return;
    }
    member.alive = false;
    member.life++;
    member.behindUntil = silent ? now + nanos : 0;
    if (!silent) {
      for (Connection connection : List.copyOf(member.followers.values())) {
        at(now + connection.delay, () -> connection.node.connectionEnded(connection));
      }
    }
    if (member.number == leader) {
      noLeaderUntil = now + SECOND + random.nextLong(SECOND / 2);
      leader = (leader + 1) % plan.members;
    }
    at(
        now + nanos,
        () -> {
          member.alive = true;
          member.behindUntil = 0;
          member.begins();
          // From its disk, a little behind; the rest comes from the others.
          int known = member.applied;
          member.applied = 0;
          member.learns(Math.max(0, known - 3));
          at(now + SECOND / 2, () -> member.learns(log.size()));
        });
  }

  /** A member hears nothing of the others for so long, and followers still hear it. */
  void alone(long time, int member, long nanos) {
    at(
        time,
        () -> {
          Member cut = members.get(member);
          if (cut.alive && member != leader) {
            cut.behindUntil = Math.max(cut.behindUntil, now + nanos);
          }
        });
  }

  /** Nodes of a region and all members, or one, lose each other, one way or both. */
  void cut(long time, int region, int member, boolean to, boolean from, long nanos) {
    at(
        time,
        () -> {
          for (Node node : nodes) {
            for (int other = 0; other < plan.members && node.region == region; other++) {
              if (member < 0 || member == other) {
                node.cutTo[other] = to ? now + nanos : node.cutTo[other];
                node.cutFrom[other] = from ? now + nanos : node.cutFrom[other];
              }
            }
          }
        });
  }

  /** A node's process stands still for so long. */
  void stop(long time, int node, long nanos) {
    at(
        time,
        () -> {
          Node stopped = nodes.get(node);
          stopped.stoppedUntil = Math.max(stopped.stoppedUntil, now + nanos);
        });
  }

  /** A node's process starts anew. */
  void restart(long time, int node) {
    at(
        time,
        () -> {
          nodes.get(node).stoppedUntil = 0;
          nodes.get(node).begins();
        });
  }

  /** Plays it to its end, and some seconds on, in which all come to know all. */
  Counted play(long calmNanos) {
    long gap = (long) (SECOND / plan.perSecond);
    int entries = (int) (plan.seconds * plan.perSecond);
    for (int i = 0; i < entries; i++) {
      at(SECOND + i * gap + random.nextLong(gap), this::agree);
    }
    long end = (plan.seconds + 1) * SECOND + calmNanos;
    while (!events.isEmpty() && events.peek().at <= end) {
      Event event = events.poll();
      now = event.at;
      event.what.run();
    }
    now = end;
    long head = log.get(log.size() - 1).entry.index();
    for (Node node : nodes) {
      if (node.inForce != head || !node.contact) {
        breach("node %d ends with entry %d of %d".formatted(node.number, node.inForce, head));
      }
    }
    return counted();
  }

  private double part(double part) {
    return times.isEmpty() ? 0 : times.get((int) (part * (times.size() - 1))) / 1e9;
  }

  private Counted counted() {
    Collections.sort(times);
    long latest = 0;
    for (long time : last) {
      latest = Math.max(latest, time);
    }
    double seconds = now / 1e9;
    double bytes = nodes.stream().mapToLong(node -> node.bytes).sum();
    double nodeNanos = nodes.stream().mapToLong(node -> node.nanos).sum();
    double memberNanos = members.stream().mapToLong(member -> member.nanos).sum();
    return new Counted(
        part(0.5),
        part(0.99),
        latest / 1e9,
        bytes / plan.nodes / seconds,
        nodeNanos / 1000 / plan.nodes / seconds,
        memberNanos / 1000 / plan.members / seconds,
        members.stream().mapToInt(member -> member.mostFollowers).max().orElse(0),
        members.stream().mapToLong(member -> member.mostOutBytes).max().orElse(0),
        snapshots,
        breaches);
  }
}
