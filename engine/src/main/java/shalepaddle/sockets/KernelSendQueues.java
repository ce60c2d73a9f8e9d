package shalepaddle.sockets;

import io.netty.channel.Channel;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.concurrent.Ticker;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;

/**
 * Looks up send queues in Linux's tables of sockets, on a thread of its own: the tables list the
 * sockets of the whole machine, so that the time to read them has no bound that this process sets.
 * One pass through the tables serves all lookups that wait, and keeps only their rows. After a pass
 * the thread rests for {@value #REST_RATIO} times as long as it took, so that lookups use a third
 * of a processor at most.
 *
 * <p>On other systems, and for channels that are no sockets, nothing is known. Thread-safe.
 */
public final class KernelSendQueues implements SendQueues {
  /** Java's sockets are such of IPv6 by default, also for addresses of IPv4. */
  private static final List<Path> SYSTEM_TABLES =
      List.of(Path.of("/proc/net/tcp6"), Path.of("/proc/net/tcp"));

  private static final int REST_RATIO = 2;

  /** Spreads the ends of connections over a map; an odd number. */
  private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;

  private static final CompletableFuture<Reading> NOTHING_KNOWN =
      CompletableFuture.completedFuture(new Reading(UNKNOWN, 0));

  /** The process's lookups in the system's tables, created at the first use. */
  private static final class SystemTables {
    private static final KernelSendQueues INSTANCE =
        new KernelSendQueues(SYSTEM_TABLES, Ticker.systemTicker());
  }

  /** A lookup that waits; owned by the thread once it is taken from the queue. */
  private static final class Lookup {
    private final long localEnd;
    private final long remoteEnd;
    private final CompletableFuture<Reading> result = new CompletableFuture<>();

    /** The next lookup with the same hash, null for none. */
    private Lookup next;

    private long unacknowledgedBytes = UNKNOWN;

    Lookup(long localEnd, long remoteEnd) {
      this.localEnd = localEnd;
      this.remoteEnd = remoteEnd;
    }
  }

  private final List<Path> tables;
  private final Ticker ticker;
  private final SocketTableReader reader = new SocketTableReader();
  private final BlockingQueue<Lookup> waitingLookups = new LinkedBlockingQueue<>();
  private final LongObjectHashMap<Lookup> lookupsByHash = new LongObjectHashMap<>();

  /** The lookups of this pass whose rows were not found yet. */
  private int missingRows;

  KernelSendQueues(List<Path> tables, Ticker ticker) {
    this.tables = tables;
    this.ticker = ticker;
    Thread thread = new Thread(this::serveLookups, "send-queues");
    thread.setDaemon(true);
    thread.start();
  }

  /** The lookups in the system's tables, shared by all of the process. */
  public static SendQueues system() {
    return SystemTables.INSTANCE;
  }

  @Override
  public CompletableFuture<Reading> read(Channel channel) {
    if (!(socketAddress(channel.localAddress()) instanceof InetSocketAddress localAddress)
        || !(socketAddress(channel.remoteAddress()) instanceof InetSocketAddress remoteAddress)) {
      return NOTHING_KNOWN;
    }
    Lookup lookup = new Lookup(endOf(localAddress), endOf(remoteAddress));
    waitingLookups.add(lookup);
    return lookup.result;
  }

  /** The address if it is one of a socket, null otherwise. */
  private static SocketAddress socketAddress(SocketAddress address) {
    return address instanceof InetSocketAddress inetAddress && !inetAddress.isUnresolved()
        ? address
        : null;
  }

  /** The form of an end in which {@link SocketTableReader} tells it. */
  private static long endOf(InetSocketAddress address) {
    byte[] bytes = address.getAddress().getAddress();
    long end = 0;
    for (int i = 1; i <= Integer.BYTES; i++) {
      end = end << Byte.SIZE | Byte.toUnsignedLong(bytes[bytes.length - i]);
    }
    return end << Short.SIZE | address.getPort();
  }

  private void serveLookups() {
    List<Lookup> lookups = new ArrayList<>();
    long restUntilNanos = ticker.nanoTime();
    try {
      while (true) {
        lookups.add(waitingLookups.take());
        restUntil(restUntilNanos);
        waitingLookups.drainTo(lookups);
        long beganAtNanos = ticker.nanoTime();
        readTables(lookups);
        long endedAtNanos = ticker.nanoTime();
        restUntilNanos = endedAtNanos + REST_RATIO * (endedAtNanos - beganAtNanos);
        for (Lookup lookup : lookups) {
          lookup.result.complete(new Reading(lookup.unacknowledgedBytes, beganAtNanos));
        }
        lookups.clear();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void restUntil(long untilNanos) {
    for (long left = untilNanos - ticker.nanoTime(); left > 0; ) {
      LockSupport.parkNanos(this, left);
      left = untilNanos - ticker.nanoTime();
    }
  }

  private void readTables(List<Lookup> lookups) {
    for (Lookup lookup : lookups) {
      lookup.next = lookupsByHash.put(hash(lookup.localEnd, lookup.remoteEnd), lookup);
    }
    missingRows = lookups.size();
    for (Path table : tables) {
      try {
        if (missingRows > 0) {
          reader.read(table, this::recordRow);
        }
      } catch (IOException e) {
        // The system has no such table, or no descriptor is left: nothing is known.
      }
    }
    lookupsByHash.clear();
  }

  private boolean recordRow(long localEnd, long remoteEnd, long sendQueueBytes) {
    Lookup lookup = lookupsByHash.get(hash(localEnd, remoteEnd));
    for (; lookup != null; lookup = lookup.next) {
      if (lookup.localEnd == localEnd && lookup.remoteEnd == remoteEnd) {
        missingRows -= lookup.unacknowledgedBytes == UNKNOWN ? 1 : 0;
        lookup.unacknowledgedBytes = sendQueueBytes;
      }
    }
    return missingRows > 0;
  }

  private static long hash(long localEnd, long remoteEnd) {
    return localEnd * HASH_FACTOR ^ remoteEnd;
  }
}
