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
 * A client that is not a member of the group, as used by commands and tests. Each call blocks the
 * calling thread and tries one member after another until one responds or the timeout has passed.
 *
 * <p>Thread-safe.
 */
public final class GroupClient implements AutoCloseable {
  /** How long a member has to respond to one attempt. */
  private static final long ATTEMPT_TIMEOUT_MILLIS = 700;

  /** The delay between two rounds of attempts at all members. */
  private static final long ROUND_DELAY_MILLIS = 30;

  /** How long a request waits for the transport beyond its own timeout before it fails. */
  private static final long TRANSPORT_GRACE_MILLIS = 1000;

  private final MemberTransport transport;
  private final Map<String, InetSocketAddress> members = new LinkedHashMap<>();

  /**
   * Creates a client.
   *
   * @param group the name of the group
   * @param members the addresses of the members, by name
   * @param log receives log lines for operators, from any thread
   * @throws IOException if the transport cannot be created
   */
  public GroupClient(String group, Map<String, InetSocketAddress> members, Consumer<String> log)
      throws IOException {
    transport = new MemberTransport(group, "", null, "", new ClientListener(log));
    members.forEach(this::setAddress);
  }

  /** Rejects all requests. A client does not listen, so it should receive none. */
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

  /** Sets the address of a member, or adds a member. */
  public synchronized void setAddress(String member, InetSocketAddress address) {
    members.put(member, address);
    transport.setAddress(member, address);
  }

  /** Sends no further requests to a member. Its connection stays open until {@link #close}. */
  public synchronized void removeAddress(String member) {
    members.remove(member);
  }

  /** The names of all members, the preferred one first. */
  private synchronized List<String> membersInOrder(String preferredMember) {
    List<String> memberNames = new ArrayList<>(members.keySet());
    if (memberNames.remove(preferredMember)) {
      memberNames.add(0, preferredMember);
    }
    return memberNames;
  }

  /**
   * Proposes a command.
   *
   * @param preferredMember the member to try first, null for any
   * @throws IOException if no member responds in time; the proposal may be committed nevertheless,
   *     and must be repeated under the same id
   */
  public CommandResult propose(Proposal proposal, String preferredMember, long timeoutMillis)
      throws IOException, InterruptedException {
    return ReplicatedStateCodec.decodeResult(
        requestFromAny(
            GroupRequest.PROPOSE,
            ReplicatedStateCodec.encodeProposal(proposal),
            preferredMember,
            timeoutMillis));
  }

  /**
   * Reads the committed state.
   *
   * @param preferredMember the member to try first, null for any
   * @throws IOException if no member responds in time
   */
  public ReplicatedState.Snapshot read(String preferredMember, long timeoutMillis)
      throws IOException, InterruptedException {
    return ReplicatedStateCodec.decodeSnapshot(
        requestFromAny(GroupRequest.READ, new byte[0], preferredMember, timeoutMillis));
  }

  /**
   * Removes a member from the group permanently.
   *
   * @throws IOException the last failure, if the removal is not confirmed within the timeout
   */
  public void removeMember(String member, long timeoutMillis)
      throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    IOException lastFailure = new GroupUnavailableException("no leader was found");
    while (System.nanoTime() - deadlineNanos < 0) {
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
   * Requests a member's status, which is its view of the group.
   *
   * @throws IOException if the member does not respond
   */
  public MemberStatus status(String member) throws IOException, InterruptedException {
    return MemberStatusCodec.decode(
        request(member, GroupRequest.STATUS, new byte[0], ATTEMPT_TIMEOUT_MILLIS));
  }

  /**
   * Sends a request to one member after another until one succeeds.
   *
   * @throws IOException the last failure, if none succeeds within the timeout
   */
  private byte[] requestFromAny(
      GroupRequest request, byte[] body, String preferredMember, long timeoutMillis)
      throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    IOException lastFailure = new GroupUnavailableException("no member is known");
    do {
      for (String member : membersInOrder(preferredMember)) {
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
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
    } while (System.nanoTime() - deadlineNanos < 0);
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
          "no response from %s within %d ms"
              .formatted(member, timeoutMillis + TRANSPORT_GRACE_MILLIS),
          e);
    }
  }

  @Override
  public void close() {
    transport.close();
  }
}
