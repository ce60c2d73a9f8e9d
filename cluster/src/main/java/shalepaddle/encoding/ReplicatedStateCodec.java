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
    return CborValues.write(
        proposal,
        (value, out) -> {
          out.put(value.id()).put(value.atMillis());
          if (value.entry() instanceof StateCommand.Say say) {
            out.put(SAY).put(say.member()).put(say.out());
          } else if (value.entry() instanceof StateCommand.Unknown unknown) {
            out.put(unknown.kind());
          }
        });
  }

  /** A proposal, of this version or a later one. */
  public static Proposal proposal(byte[] bytes) throws IOException {
    return CborValues.read(
        bytes,
        in -> {
          String id = in.text();
          long at = in.number();
          int kind = in.small();
          return new Proposal(
              id,
              at,
              kind == SAY
                  ? new StateCommand.Say(in.text(), in.flag())
                  : new StateCommand.Unknown(kind));
        });
  }

  /** An answer's bytes. */
  public static byte[] answer(CommandResult answer) {
    return CborValues.write(answer, ReplicatedStateCodec::answer);
  }

  /** An answer. */
  public static CommandResult answer(byte[] bytes) throws IOException {
    return CborValues.read(bytes, ReplicatedStateCodec::answer);
  }

  private static void answer(CommandResult answer, CborValues.Writer out) throws IOException {
    out.put(answer.kind().name()).put(answer.index());
  }

  private static CommandResult answer(CborValues.Reader in) throws IOException {
    return new CommandResult(CommandResult.Kind.valueOf(in.text()), in.number());
  }

  /** The bytes of a snapshot. */
  public static byte[] image(ReplicatedState.Image image) {
    return CborValues.write(
        image,
        (value, out) -> {
          out.put(IMAGE).put(value.index()).put(value.atMillis());
          out.each(value.out(), (member, to) -> to.put(member));
          out.each(
              value.answers(),
              (given, to) -> {
                to.put(given.id()).put(given.atMillis());
                answer(given.answer(), to);
              });
        });
  }

  /**
   * A snapshot.
   *
   * @throws IOException if it is of another form
   */
  public static ReplicatedState.Image image(byte[] bytes) throws IOException {
    return CborValues.read(
        bytes,
        in -> {
          int form = in.small();
          if (form != IMAGE) {
            throw new IOException(
                "a snapshot of form " + form + ", and this version knows " + IMAGE);
          }
          return new ReplicatedState.Image(
              in.number(),
              in.number(),
              in.each(CborValues.Reader::text),
              in.each(from -> new ReplicatedState.Given(from.text(), from.number(), answer(from))));
        });
  }
}
