package shalepaddle.raft;

import io.microraft.statemachine.StateMachine;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import shalepaddle.encoding.LogEntryCodec;
import shalepaddle.encoding.ReplicatedStateCodec;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;

/** Applies the log to the promises. Runs on the member's thread. */
final class ReplicatedStateMachine implements StateMachine {
  /** Bytes of a part of a snapshot: one message each. */
  private static final int PART = 256 << 10;

  private final ReplicatedState promises = new ReplicatedState();
  private final RaftMember.Listener listener;

  /** Entries up to here were told of before. */
  private final long told;

  ReplicatedStateMachine(long told, RaftMember.Listener listener) {
    this.told = told;
    this.listener = listener;
  }

  ReplicatedState promises() {
    return promises;
  }

  /** Returns the {@link CommandResult}; null for an entry that asks for nothing. */
  @Override
  public Object runOperation(long index, Object operation) {
    byte[] bytes = (byte[]) operation;
    if (bytes.length == 0) {
      return null;
    }
    Proposal proposal;
    try {
      proposal = ReplicatedStateCodec.proposal(bytes);
    } catch (IOException e) {
      // The same bytes on every member: all pass it over.
      return new CommandResult(CommandResult.Outcome.UNKNOWN_COMMAND, index);
    }
    CommandResult answer = promises.apply(index, proposal);
    if (index > told) {
      listener.entryApplied(index, bytes, proposal, answer);
    }
    return answer;
  }

  @Override
  public void takeSnapshot(long index, Consumer<Object> parts) {
    byte[] image = ReplicatedStateCodec.image(promises.snapshot());
    for (int from = 0; from == 0 || from < image.length; from += PART) {
      parts.accept(Arrays.copyOfRange(image, from, Math.min(image.length, from + PART)));
    }
  }

  @Override
  public void installSnapshot(long index, List<Object> parts) {
    ByteArrayOutputStream image = new ByteArrayOutputStream();
    parts.forEach(part -> image.writeBytes((byte[]) part));
    try {
      promises.restore(ReplicatedStateCodec.image(image.toByteArray()));
    } catch (IOException e) {
      throw new IllegalStateException("the snapshot can't be read: " + e.getMessage(), e);
    }
    if (index > told) {
      listener.snapshotInstalled(promises.snapshot());
    }
  }

  @Override
  public Object getNewTermOperation() {
    return LogEntryCodec.EMPTY_OPERATION;
  }
}
