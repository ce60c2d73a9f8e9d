package shalepaddle.cluster;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import shalepaddle.encoding.ReplicatedStateCodec;
import shalepaddle.raft.MemberStatus;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;
import shalepaddle.transport.MemberTransport;

/**
 * Somebody outside of a group who asks its members: a command line, a test. Each call waits on the
 * caller's thread and asks one member after the other until one answers or the time is up.
 *
 * <p>Thread-safe.
 */
public final class GroupClient implements AutoCloseable {
  private static final long ONE_MILLIS = 700;

  /** Before the members are asked once more. */
  private static final long AGAIN_MILLIS = 30;

  private final MemberTransport links;
  private final Map<String, InetSocketAddress> members = new LinkedHashMap<>();

  /** A caller of these members. */
  public GroupClient(String group, Map<String, InetSocketAddress> members, Consumer<String> log)
      throws IOException {
    links =
        new MemberTransport(
            group,
            "",
            null,
            "",
            new MemberTransport.Listener() {
              @Override
              public void raftMessage(byte[] message) {}

              @Override
              public CompletionStage<byte[]> request(String what, byte[] body) {
                return CompletableFuture.failedFuture(new IOException("never: nobody is here"));
              }

              @Override
              public void diagnostic(String text) {
                log.accept(text);
              }
            });
    members.forEach(this::setAddress);
  }

  /** A member is to be found there. */
  public synchronized void setAddress(String member, InetSocketAddress address) {
    members.put(member, address);
    links.setAddress(member, address);
  }

  /** A member is asked no more. */
  public synchronized void removeAddress(String member) {
    members.remove(member);
  }

  private synchronized List<String> all(String first) {
    List<String> all = new ArrayList<>(members.keySet());
    if (all.remove(first)) {
      all.add(0, first);
    }
    return all;
  }

  /**
   * Asks the group to hold this.
   *
   * @param first who is asked before all others, null for any
   * @throws IOException if nobody has answered by then: it may be held, ask again under the same id
   */
  public CommandResult propose(Proposal proposal, String first, long millis)
      throws IOException, InterruptedException {
    return ReplicatedStateCodec.decodeResult(
        ask(GroupMember.HOLD, ReplicatedStateCodec.encodeProposal(proposal), first, millis));
  }

  /** What is held now. */
  public ReplicatedState.Snapshot read(String first, long millis)
      throws IOException, InterruptedException {
    return ReplicatedStateCodec.decodeSnapshot(ask(GroupMember.READ, new byte[0], first, millis));
  }

  /** Takes a member out of the group for good. */
  public void removeMember(String member, long millis) throws IOException, InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    IOException last = new IOException("nobody leads");
    while (System.nanoTime() - until < 0) {
      for (String one : all(null)) {
        try {
          MemberStatus standing = status(one);
          if (!standing.isLeader()) {
            continue;
          }
          if (!standing.members().contains(member)) {
            return;
          }
          once(one, GroupMember.REMOVE, member.getBytes(StandardCharsets.UTF_8), ONE_MILLIS);
        } catch (IOException e) {
          last = e;
        }
      }
      TimeUnit.MILLISECONDS.sleep(AGAIN_MILLIS);
    }
    throw last;
  }

  /** How a member sees the group. */
  public MemberStatus status(String member) throws IOException, InterruptedException {
    return MemberStatusCodec.decode(once(member, GroupMember.STANDING, new byte[0], ONE_MILLIS));
  }

  private byte[] ask(String what, byte[] body, String first, long millis)
      throws IOException, InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    IOException last = new IOException("no member is known");
    do {
      for (String member : all(first)) {
        long left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
        if (left <= 0) {
          break;
        }
        try {
          return once(member, what, body, Math.min(left, ONE_MILLIS));
        } catch (IOException e) {
          last = e;
        }
      }
      TimeUnit.MILLISECONDS.sleep(AGAIN_MILLIS);
    } while (System.nanoTime() - until < 0);
    throw last;
  }

  private byte[] once(String member, String what, byte[] body, long millis)
      throws IOException, InterruptedException {
    try {
      return links.request(member, what, body, millis).get(millis + 1000, TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      throw e.getCause() instanceof IOException cause ? cause : new IOException(e.getCause());
    } catch (TimeoutException e) {
      throw new IOException("no answer from " + member, e);
    }
  }

  @Override
  public void close() {
    links.close();
  }
}
