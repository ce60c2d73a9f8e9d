package shalepaddle.raft;

import io.microraft.statemachine.StateMachine;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import shalepaddle.encoding.LogEntryCodec;
import shalepaddle.encoding.ReplicatedStateCodec;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;

/** Applies committed entries to the replicated state. Owned by the member's thread. */
final class ReplicatedStateMachine implements StateMachine {
  /** The maximum size of a snapshot chunk, which is sent in one message. */
  private static final int CHUNK_BYTES = 256 << 10;

  private final ReplicatedState state = new ReplicatedState();
  private final RaftMember.Listener listener;
  private final long lastNotifiedIndex;

  /**
   * Creates a state machine with an empty state.
   *
   * @param lastNotifiedIndex the index of the last entry of which an earlier state machine notified
   *     the listener, 0 for none; entries up to it cause no further notification
   */
  ReplicatedStateMachine(long lastNotifiedIndex, RaftMember.Listener listener) {
    this.lastNotifiedIndex = lastNotifiedIndex;
    this.listener = listener;
  }

  ReplicatedState state() {
    return state;
  }

  /**
   * Applies a committed entry. The operation of a linearizable read is empty and changes nothing.
   *
   * @return the {@link CommandResult}, null for an entry without a command and for a read
   */
  @Override
  public Object runOperation(long index, Object operation) {
    byte[] bytes = (byte[]) operation;
    if (bytes.length == 0) {
      return null;
    }
    Proposal proposal;
    try {
      proposal = ReplicatedStateCodec.decodeProposal(bytes);
    } catch (IOException e) {
      // Every member has the same bytes, so all of them skip the entry. The listener is not
      // notified, and the index of the state does not advance.
      return new CommandResult(CommandResult.Outcome.UNKNOWN_COMMAND, index);
    }
    CommandResult result = state.apply(index, proposal);
    if (index > lastNotifiedIndex) {
      listener.entryApplied(index, bytes, proposal, result);
    }
    return result;
  }

  @Override
  public void takeSnapshot(long index, Consumer<Object> chunkConsumer) {
    byte[] bytes = ReplicatedStateCodec.encodeSnapshot(state.snapshot());
    // Even an empty snapshot has one chunk, since the log store stores only the chunks.
    for (int offset = 0; offset == 0 || offset < bytes.length; offset += CHUNK_BYTES) {
      chunkConsumer.accept(
          Arrays.copyOfRange(bytes, offset, Math.min(bytes.length, offset + CHUNK_BYTES)));
    }
  }

  @Override
  public void installSnapshot(long index, List<Object> chunks) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    chunks.forEach(chunk -> bytes.writeBytes((byte[]) chunk));
    try {
      state.restore(ReplicatedStateCodec.decodeSnapshot(bytes.toByteArray()));
    } catch (IOException e) {
      throw new UncheckedIOException(
          "cannot decode the snapshot at index " + index + ": " + e.getMessage(), e);
    }
    if (index > lastNotifiedIndex) {
      listener.snapshotInstalled(state.snapshot());
    }
  }

  @Override
  public Object getNewTermOperation() {
    return LogEntryCodec.EMPTY_OPERATION;
  }
}
