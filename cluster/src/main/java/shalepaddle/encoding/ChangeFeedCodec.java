package shalepaddle.encoding;

import java.io.IOException;
import shalepaddle.changefeed.ChangeEntry;
import shalepaddle.changefeed.PublisherMessage;
import shalepaddle.changefeed.SubscriberMessage;

/** The forms of what members and followers tell each other. */
public final class ChangeFeedCodec {
  private static final int HELLO = 1;
  private static final int TAKEN = 2;
  private static final int WRONG = 3;
  private static final int ENTRIES = 1;
  private static final int SNAPSHOT = 2;
  private static final int ALIVE = 3;
  private static final int TURNED_DOWN = 4;

  private ChangeFeedCodec() {}

  /** The bytes of what a follower says. */
  public static byte[] said(SubscriberMessage said) {
    return CborValues.encode(
        said,
        (value, out) -> {
          if (value instanceof SubscriberMessage.Hello hello) {
            out.put(HELLO).put(hello.group()).put(hello.name()).put(hello.index());
          } else if (value instanceof SubscriberMessage.Acknowledgement taken) {
            out.put(TAKEN).put(taken.index());
          } else if (value instanceof SubscriberMessage.EntryRejected wrong) {
            out.put(WRONG).put(wrong.index()).put(wrong.reason());
          }
        });
  }

  /**
   * What a follower says.
   *
   * @throws IOException if it is of another form
   */
  public static SubscriberMessage said(byte[] bytes) throws IOException {
    return CborValues.decode(
        bytes,
        in -> {
          int kind = in.readInt();
          return switch (kind) {
            case HELLO -> new SubscriberMessage.Hello(text(in), text(in), place(in));
            case TAKEN -> new SubscriberMessage.Acknowledgement(place(in));
            case WRONG -> new SubscriberMessage.EntryRejected(place(in), text(in));
            default -> throw new IOException("a follower's word of kind " + kind);
          };
        });
  }

  private static String text(CborValues.Reader in) throws IOException {
    String text = in.readText();
    if (text == null || text.length() > SubscriberMessage.MAX_TEXT_LENGTH) {
      throw new IOException(
          "a text of up to " + SubscriberMessage.MAX_TEXT_LENGTH + " characters is due");
    }
    return text;
  }

  private static long place(CborValues.Reader in) throws IOException {
    long place = in.readLong();
    if (place < 0) {
      throw new IOException("a place in the log is due, and not " + place);
    }
    return place;
  }

  /** The bytes of what a member tells. */
  public static byte[] told(PublisherMessage told) {
    return CborValues.encode(
        told,
        (value, out) -> {
          if (value instanceof PublisherMessage.Entries entries) {
            out.put(ENTRIES).put(entries.previousIndex());
            out.putList(entries.entries(), (entry, to) -> to.put(entry.index()).put(entry.body()));
          } else if (value instanceof PublisherMessage.Snapshot snapshot) {
            out.put(SNAPSHOT).put(snapshot.index()).put(snapshot.state());
          } else if (value instanceof PublisherMessage.Heartbeat alive) {
            out.put(ALIVE).put(alive.index());
          } else if (value instanceof PublisherMessage.Rejected down) {
            out.put(TURNED_DOWN).put(down.reason());
          }
        });
  }

  /**
   * What a member tells.
   *
   * @throws IOException if it is of another form
   */
  public static PublisherMessage told(byte[] bytes) throws IOException {
    return CborValues.decode(
        bytes,
        in -> {
          int kind = in.readInt();
          return switch (kind) {
            case ENTRIES ->
                new PublisherMessage.Entries(
                    place(in), in.readList(from -> new ChangeEntry(place(from), from.readBytes())));
            case SNAPSHOT -> new PublisherMessage.Snapshot(place(in), in.readBytes());
            case ALIVE -> new PublisherMessage.Heartbeat(place(in));
            case TURNED_DOWN -> new PublisherMessage.Rejected(text(in));
            default -> throw new IOException("a member's word of kind " + kind);
          };
        });
  }
}
