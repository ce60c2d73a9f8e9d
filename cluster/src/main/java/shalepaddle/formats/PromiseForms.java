package shalepaddle.formats;

import java.io.IOException;
import shalepaddle.promises.Answer;
import shalepaddle.promises.Entry;
import shalepaddle.promises.Promises;
import shalepaddle.promises.Proposal;

/** The forms of what is held. An entry of a kind that is not known is read as such, not refused. */
public final class PromiseForms {
  private static final int SAY = 1;
  private static final int IMAGE = 1;

  private PromiseForms() {}

  /** A proposal's bytes. */
  public static byte[] proposal(Proposal proposal) {
    return Values.write(
        proposal,
        (value, out) -> {
          out.put(value.id()).put(value.atMillis());
          if (value.entry() instanceof Entry.Say say) {
            out.put(SAY).put(say.member()).put(say.out());
          } else if (value.entry() instanceof Entry.Unknown unknown) {
            out.put(unknown.kind());
          }
        });
  }

  /** A proposal, of this version or a later one. */
  public static Proposal proposal(byte[] bytes) throws IOException {
    return Values.read(
        bytes,
        in -> {
          String id = in.text();
          long at = in.number();
          int kind = in.small();
          return new Proposal(
              id, at, kind == SAY ? new Entry.Say(in.text(), in.flag()) : new Entry.Unknown(kind));
        });
  }

  /** An answer's bytes. */
  public static byte[] answer(Answer answer) {
    return Values.write(answer, PromiseForms::answer);
  }

  /** An answer. */
  public static Answer answer(byte[] bytes) throws IOException {
    return Values.read(bytes, PromiseForms::answer);
  }

  private static void answer(Answer answer, Values.Writer out) throws IOException {
    out.put(answer.kind().name()).put(answer.index());
  }

  private static Answer answer(Values.Reader in) throws IOException {
    return new Answer(Answer.Kind.valueOf(in.text()), in.number());
  }

  /** The bytes of a snapshot. */
  public static byte[] image(Promises.Image image) {
    return Values.write(
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
  public static Promises.Image image(byte[] bytes) throws IOException {
    return Values.read(
        bytes,
        in -> {
          int form = in.small();
          if (form != IMAGE) {
            throw new IOException(
                "a snapshot of form " + form + ", and this version knows " + IMAGE);
          }
          return new Promises.Image(
              in.number(),
              in.number(),
              in.each(Values.Reader::text),
              in.each(from -> new Promises.Given(from.text(), from.number(), answer(from))));
        });
  }
}
