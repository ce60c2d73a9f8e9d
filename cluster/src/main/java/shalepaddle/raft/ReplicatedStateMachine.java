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
  /** Bytes of a chunk of a snapshot at most; each goes in one message. */
  private static final int CHUNK_BYTES = 256 << 10;

  private final ReplicatedState state = new ReplicatedState();
  private final RaftMember.Listener listener;
  private final long lastNotifiedIndex;

  /**
   * A state machine without state.
   *
   * @param lastNotifiedIndex the listener was notified of entries up to there, by a state machine
   *     before this one; 0 for none
   */
  ReplicatedStateMachine(long lastNotifiedIndex, RaftMember.Listener listener) {
    this.lastNotifiedIndex = lastNotifiedIndex;
    this.listener = listener;
  }

  ReplicatedState state() {
    return state;
  }

  /**
   * Applies a committed entry, or answers a linearizable read, whose operation is empty.
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
      // told, and the index of the state does not advance.
      return new CommandResult(CommandResult.Outcome.UNKNOWN_COMMAND, index);
    }
    CommandResult result = state.apply(index, proposal);
    if (index > lastNotifiedIndex) {
      listener.entryApplied(index, bytes, proposal, result);
    }
    return result;
  }

  @Override
  public void takeSnapshot(long index, Consumer<Object> chunks) {
    byte[] bytes = ReplicatedStateCodec.encodeSnapshot(state.snapshot());
    // At least one chunk: the log store knows a snapshot by its chunks.
    for (int from = 0; from == 0 || from < bytes.length; from += CHUNK_BYTES) {
      chunks.accept(Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + CHUNK_BYTES)));
    }
  }

  @Override
  public void installSnapshot(long index, List<Object> chunks) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    chunks.forEach(chunk -> bytes.writeBytes((byte[]) chunk));
    try {
      state.restore(ReplicatedStateCodec.decodeSnapshot(bytes.toByteArray()));
    } catch (IOException e) {
      throw new UncheckedIOException("the snapshot can't be read: " + e.getMessage(), e);
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
