package shalepaddle.formats;

import java.io.IOException;
import shalepaddle.feed.FeedEntry;
import shalepaddle.feed.Said;
import shalepaddle.feed.Told;

/** The forms of what members and followers tell each other. */
public final class FeedForms {
  private static final int HELLO = 1;
  private static final int TAKEN = 2;
  private static final int WRONG = 3;
  private static final int ENTRIES = 1;
  private static final int SNAPSHOT = 2;
  private static final int ALIVE = 3;
  private static final int TURNED_DOWN = 4;

  private FeedForms() {}

  /** The bytes of what a follower says. */
  public static byte[] said(Said said) {
    return Values.write(
        said,
        (value, out) -> {
          if (value instanceof Said.Hello hello) {
            out.put(HELLO).put(hello.group()).put(hello.name()).put(hello.index());
          } else if (value instanceof Said.Taken taken) {
            out.put(TAKEN).put(taken.index());
          } else if (value instanceof Said.Wrong wrong) {
            out.put(WRONG).put(wrong.index()).put(wrong.what());
          }
        });
  }

  /**
   * What a follower says.
   *
   * @throws IOException if it is of another form
   */
  public static Said said(byte[] bytes) throws IOException {
    return Values.read(
        bytes,
        in -> {
          int kind = in.small();
          return switch (kind) {
            case HELLO -> new Said.Hello(text(in), text(in), place(in));
            case TAKEN -> new Said.Taken(place(in));
            case WRONG -> new Said.Wrong(place(in), text(in));
            default -> throw new IOException("a follower's word of kind " + kind);
          };
        });
  }

  private static String text(Values.Reader in) throws IOException {
    String text = in.text();
    if (text == null || text.length() > Said.MOST_TEXT) {
      throw new IOException("a text of up to " + Said.MOST_TEXT + " characters is due");
    }
    return text;
  }

  private static long place(Values.Reader in) throws IOException {
    long place = in.number();
    if (place < 0) {
      throw new IOException("a place in the log is due, and not " + place);
    }
    return place;
  }

  /** The bytes of what a member tells. */
  public static byte[] told(Told told) {
    return Values.write(
        told,
        (value, out) -> {
          if (value instanceof Told.Entries entries) {
            out.put(ENTRIES).put(entries.after());
            out.each(entries.entries(), (entry, to) -> to.put(entry.index()).put(entry.body()));
          } else if (value instanceof Told.Snapshot snapshot) {
            out.put(SNAPSHOT).put(snapshot.index()).put(snapshot.image());
          } else if (value instanceof Told.Alive alive) {
            out.put(ALIVE).put(alive.index());
          } else if (value instanceof Told.TurnedDown down) {
            out.put(TURNED_DOWN).put(down.why());
          }
        });
  }

  /**
   * What a member tells.
   *
   * @throws IOException if it is of another form
   */
  public static Told told(byte[] bytes) throws IOException {
    return Values.read(
        bytes,
        in -> {
          int kind = in.small();
          return switch (kind) {
            case ENTRIES ->
                new Told.Entries(
                    place(in), in.each(from -> new FeedEntry(place(from), from.bytes())));
            case SNAPSHOT -> new Told.Snapshot(place(in), in.bytes());
            case ALIVE -> new Told.Alive(place(in));
            case TURNED_DOWN -> new Told.TurnedDown(text(in));
            default -> throw new IOException("a member's word of kind " + kind);
          };
        });
  }
}
