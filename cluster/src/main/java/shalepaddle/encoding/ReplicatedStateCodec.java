package shalepaddle.encoding;

import java.io.IOException;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;
import shalepaddle.replicatedstate.StateCommand;

/** The forms of what is held. An entry of a kind that is not known is read as such, not refused. */
public final class ReplicatedStateCodec {
  private static final int SAY = 1;
  private static final int IMAGE = 1;

  private ReplicatedStateCodec() {}

  /** A proposal's bytes. */
  public static byte[] proposal(Proposal proposal) {
    return CborValues.encode(
        proposal,
        (value, out) -> {
          out.put(value.id()).put(value.proposedAtMillis());
          if (value.command() instanceof StateCommand.SetExclusion say) {
            out.put(SAY).put(say.serverId()).put(say.excluded());
          } else if (value.command() instanceof StateCommand.Unknown unknown) {
            out.put(unknown.kind());
          }
        });
  }

  /** A proposal, of this version or a later one. */
  public static Proposal proposal(byte[] bytes) throws IOException {
    return CborValues.decode(
        bytes,
        in -> {
          String id = in.readText();
          long at = in.readLong();
          int kind = in.readInt();
          return new Proposal(
              id,
              at,
              kind == SAY
                  ? new StateCommand.SetExclusion(in.readText(), in.readBoolean())
                  : new StateCommand.Unknown(kind));
        });
  }

  /** An answer's bytes. */
  public static byte[] answer(CommandResult answer) {
    return CborValues.encode(answer, ReplicatedStateCodec::answer);
  }

  /** An answer. */
  public static CommandResult answer(byte[] bytes) throws IOException {
    return CborValues.decode(bytes, ReplicatedStateCodec::answer);
  }

  private static void answer(CommandResult answer, CborValues.Writer out) throws IOException {
    out.put(answer.outcome().wireName()).put(answer.index());
  }

  private static CommandResult answer(CborValues.Reader in) throws IOException {
    return new CommandResult(CommandResult.Outcome.ofWireName(in.readText()), in.readLong());
  }

  /** The bytes of a snapshot. */
  public static byte[] image(ReplicatedState.Snapshot image) {
    return CborValues.encode(
        image,
        (value, out) -> {
          out.put(IMAGE).put(value.index()).put(value.logTimeMillis());
          out.putList(value.excludedServers(), (member, to) -> to.put(member));
          out.putList(
              value.retainedResults(),
              (given, to) -> {
                to.put(given.id()).put(given.logTimeMillis());
                answer(given.result(), to);
              });
        });
  }

  /**
   * A snapshot.
   *
   * @throws IOException if it is of another form
   */
  public static ReplicatedState.Snapshot image(byte[] bytes) throws IOException {
    return CborValues.decode(
        bytes,
        in -> {
          int form = in.readInt();
          if (form != IMAGE) {
            throw new IOException(
                "a snapshot of form " + form + ", and this version knows " + IMAGE);
          }
          return new ReplicatedState.Snapshot(
              in.readLong(),
              in.readLong(),
              in.readList(CborValues.Reader::readText),
              in.readList(
                  from ->
                      new ReplicatedState.RetainedResult(
                          from.readText(), from.readLong(), answer(from))));
        });
  }
}
