package shalepaddle.encoding;

import java.io.IOException;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;
import shalepaddle.replicatedstate.StateCommand;

/** The formats of proposals, results and snapshots of the replicated state. */
public final class ReplicatedStateCodec {
  private static final int SET_EXCLUSION = 1;
  private static final int SNAPSHOT_FORMAT = 1;

  private ReplicatedStateCodec() {}

  /** The bytes of a proposal. */
  public static byte[] encodeProposal(Proposal proposal) {
    return CborValues.encode(
        proposal,
        (value, out) -> {
          out.put(value.id()).put(value.proposedAtMillis());
          if (value.command() instanceof StateCommand.SetExclusion exclusion) {
            out.put(SET_EXCLUSION).put(exclusion.serverId()).put(exclusion.excluded());
          } else if (value.command() instanceof StateCommand.Unknown unknown) {
            out.put(unknown.kind());
          }
        });
  }

  /**
   * A proposal. A command of a later version is read as {@link StateCommand.Unknown}.
   *
   * @throws MalformedMessageException if the bytes are not a proposal
   */
  public static Proposal decodeProposal(byte[] bytes) throws IOException {
    return CborValues.decode(
        bytes,
        in -> {
          String id = in.readText();
          long proposedAtMillis = in.readLong();
          int kind = in.readInt();
          StateCommand command =
              kind == SET_EXCLUSION
                  ? new StateCommand.SetExclusion(in.readText(), in.readBoolean())
                  : new StateCommand.Unknown(kind);
          return new Proposal(id, proposedAtMillis, command);
        });
  }

  /** The bytes of a result. */
  public static byte[] encodeResult(CommandResult result) {
    return CborValues.encode(result, ReplicatedStateCodec::writeResult);
  }

  /**
   * A result.
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

  /** The bytes of a snapshot. */
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
   * A snapshot.
   *
   * @throws UnknownFormatException if a later version made it
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
