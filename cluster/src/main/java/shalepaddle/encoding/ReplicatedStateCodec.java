package shalepaddle.encoding;

import java.io.IOException;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;
import shalepaddle.replicatedstate.StateCommand;

/** Encodes and decodes proposals, results and snapshots of the replicated state. */
public final class ReplicatedStateCodec {
  private static final int SET_EXCLUSION_KIND = 1;
  private static final int SNAPSHOT_FORMAT = 1;

  private ReplicatedStateCodec() {}

  /** Encodes a proposal. */
  public static byte[] encodeProposal(Proposal proposal) {
    return CborValues.encode(
        proposal,
        (value, out) -> {
          out.put(value.id()).put(value.proposedAtMillis());
          if (value.command() instanceof StateCommand.SetExclusion exclusion) {
            out.put(SET_EXCLUSION_KIND).put(exclusion.serverId()).put(exclusion.isExcluded());
          } else if (value.command() instanceof StateCommand.UnknownCommand unknownCommand) {
            out.put(unknownCommand.kind());
          }
        });
  }

  /**
   * Decodes a proposal. A command of a later version is decoded as {@link
   * StateCommand.UnknownCommand}.
   *
   * @throws MalformedMessageException if the bytes are not a proposal
   */
  public static Proposal decodeProposal(byte[] bytes) throws IOException {
    return CborValues.decode(
        bytes,
        in -> {
          String id = in.readText();
          long proposedAtMillis = in.readLong();
          int commandKind = in.readInt();
          StateCommand command =
              commandKind == SET_EXCLUSION_KIND
                  ? new StateCommand.SetExclusion(in.readText(), in.readBoolean())
                  : new StateCommand.UnknownCommand(commandKind);
          return new Proposal(id, proposedAtMillis, command);
        });
  }

  /** Encodes a result. */
  public static byte[] encodeResult(CommandResult result) {
    return CborValues.encode(result, ReplicatedStateCodec::writeResult);
  }

  /**
   * Decodes a result.
   *
   * @throws MalformedMessageException if the bytes are not a result
   */
  public static CommandResult decodeResult(byte[] bytes) throws IOException {
    return CborValues.decode(bytes, ReplicatedStateCodec::readResult);
  }

  private static void writeResult(CommandResult result, CborValues.Writer out) throws IOException {
    out.put(result.outcome().wireName()).put(result.index());
  }

  private static CommandResult readResult(CborValues.Reader in) throws IOException {
    return new CommandResult(CommandResult.Outcome.ofWireName(in.readText()), in.readLong());
  }

  /** Encodes a snapshot. */
  public static byte[] encodeSnapshot(ReplicatedState.Snapshot snapshot) {
    return CborValues.encode(
        snapshot,
        (value, out) -> {
          out.put(SNAPSHOT_FORMAT).put(value.index()).put(value.logTimeMillis());
          out.putList(value.excludedServers(), (server, to) -> to.put(server));
          out.putList(
              value.retainedResults(),
              (retained, to) -> {
                to.put(retained.id()).put(retained.logTimeMillis());
                writeResult(retained.result(), to);
              });
        });
  }

  /**
   * Decodes a snapshot.
   *
   * @throws UnknownFormatException if the snapshot has a format of a later version
   * @throws MalformedMessageException if the bytes are not a snapshot
   */
  public static ReplicatedState.Snapshot decodeSnapshot(byte[] bytes) throws IOException {
    return CborValues.decode(
        bytes,
        in -> {
          int format = in.readInt();
          if (format != SNAPSHOT_FORMAT) {
            throw new UnknownFormatException("a snapshot", format);
          }
          return new ReplicatedState.Snapshot(
              in.readLong(),
              in.readLong(),
              in.readList(CborValues.Reader::readText),
              in.readList(
                  from ->
                      new ReplicatedState.RetainedResult(
                          from.readText(), from.readLong(), readResult(from))));
        });
  }
}
