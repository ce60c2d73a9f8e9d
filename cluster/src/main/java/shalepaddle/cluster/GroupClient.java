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
 * A client of a group that is no member: a command, a test. Each call blocks the caller's thread
 * and asks one member after the other until one answers or the time is up.
 *
 * <p>Thread-safe.
 */
public final class GroupClient implements AutoCloseable {
  private static final long ATTEMPT_TIMEOUT_MILLIS = 700;

  /** Between two rounds over all members. */
  private static final long ROUND_DELAY_MILLIS = 30;

  /** How long after a request's timeout the transport itself is considered stuck. */
  private static final long TRANSPORT_GRACE_MILLIS = 1000;

  private final MemberTransport transport;
  private final Map<String, InetSocketAddress> members = new LinkedHashMap<>();

  /**
   * A client of these members.
   *
   * @param members their names and addresses
   * @param log takes lines for operators, from any thread
   */
  public GroupClient(String group, Map<String, InetSocketAddress> members, Consumer<String> log)
      throws IOException {
    transport = new MemberTransport(group, "", null, "", new ClientListener(log));
    members.forEach(this::setAddress);
  }

  /** Nobody connects to a client, so it rejects everything. */
  private record ClientListener(Consumer<String> log) implements MemberTransport.Listener {
    @Override
    public void raftMessageReceived(byte[] message) {}

    @Override
    public CompletionStage<byte[]> requestReceived(String method, byte[] body) {
      return CompletableFuture.failedFuture(
          RequestFailure.rejected("a client answers no requests"));
    }

    @Override
    public void diagnostic(String line) {
      log.accept(line);
    }
  }

  /** A member is at this address from now on. */
  public synchronized void setAddress(String member, InetSocketAddress address) {
    members.put(member, address);
    transport.setAddress(member, address);
  }

  /** A member is not asked any more; an open connection to it stays until {@link #close}. */
  public synchronized void removeAddress(String member) {
    members.remove(member);
  }

  /** All members, the preferred one first. */
  private synchronized List<String> membersInOrder(String preferred) {
    List<String> ordered = new ArrayList<>(members.keySet());
    if (ordered.remove(preferred)) {
      ordered.add(0, preferred);
    }
    return ordered;
  }

  /**
   * Proposes a command.
   *
   * @param preferred the member to ask first, null for any
   * @throws IOException if nobody answers in time; the proposal may be committed all the same, and
   *     is to be repeated under the same id
   */
  public CommandResult propose(Proposal proposal, String preferred, long timeoutMillis)
      throws IOException, InterruptedException {
    return ReplicatedStateCodec.decodeResult(
        requestOfAny(
            GroupRequest.PROPOSE,
            ReplicatedStateCodec.encodeProposal(proposal),
            preferred,
            timeoutMillis));
  }

  /**
   * Reads the committed state.
   *
   * @param preferred the member to ask first, null for any
   * @throws IOException if nobody answers in time
   */
  public ReplicatedState.Snapshot read(String preferred, long timeoutMillis)
      throws IOException, InterruptedException {
    return ReplicatedStateCodec.decodeSnapshot(
        requestOfAny(GroupRequest.READ, new byte[0], preferred, timeoutMillis));
  }

  /**
   * Removes a member from the group for good.
   *
   * @throws IOException if it is still a member when the time is up; with the last failure
   */
  public void removeMember(String member, long timeoutMillis)
      throws IOException, InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    IOException lastFailure = new GroupUnavailableException("nobody leads");
    while (System.nanoTime() - deadline < 0) {
      for (String candidate : membersInOrder(null)) {
        try {
          MemberStatus status = status(candidate);
          if (!status.isLeader()) {
            continue;
          }
          if (!status.members().contains(member)) {
            return;
          }
          request(
              candidate,
              GroupRequest.REMOVE,
              member.getBytes(StandardCharsets.UTF_8),
              ATTEMPT_TIMEOUT_MILLIS);
        } catch (IOException e) {
          lastFailure = e;
        }
      }
      TimeUnit.MILLISECONDS.sleep(ROUND_DELAY_MILLIS);
    }
    throw lastFailure;
  }

  /**
   * A member's view of its group.
   *
   * @throws IOException if it does not answer
   */
  public MemberStatus status(String member) throws IOException, InterruptedException {
    return MemberStatusCodec.decode(
        request(member, GroupRequest.STATUS, new byte[0], ATTEMPT_TIMEOUT_MILLIS));
  }

  /**
   * Sends a request to one member after the other until one succeeds.
   *
   * @throws IOException the last failure, when the time is up
   */
  private byte[] requestOfAny(
      GroupRequest request, byte[] body, String preferred, long timeoutMillis)
      throws IOException, InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    IOException lastFailure = new GroupUnavailableException("no member is known");
    do {
      for (String member : membersInOrder(preferred)) {
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
        if (remainingMillis <= 0) {
          break;
        }
        try {
          return request(member, request, body, Math.min(remainingMillis, ATTEMPT_TIMEOUT_MILLIS));
        } catch (IOException e) {
          lastFailure = e;
        }
      }
      TimeUnit.MILLISECONDS.sleep(ROUND_DELAY_MILLIS);
    } while (System.nanoTime() - deadline < 0);
    throw lastFailure;
  }

  private byte[] request(String member, GroupRequest request, byte[] body, long timeoutMillis)
      throws IOException, InterruptedException {
    try {
      return transport
          .request(member, request.wireName(), body, timeoutMillis)
          .get(timeoutMillis + TRANSPORT_GRACE_MILLIS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      throw e.getCause() instanceof IOException cause ? cause : new IOException(e.getCause());
    } catch (TimeoutException e) {
      throw new IOException(
          "no answer from %s in %d ms".formatted(member, timeoutMillis + TRANSPORT_GRACE_MILLIS),
          e);
    }
  }

  @Override
  public void close() {
    transport.close();
  }
}
