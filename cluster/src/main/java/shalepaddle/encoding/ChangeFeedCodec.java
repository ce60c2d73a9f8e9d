package shalepaddle.encoding;

import java.io.IOException;
import shalepaddle.changefeed.ChangeEntry;
import shalepaddle.changefeed.PublisherMessage;
import shalepaddle.changefeed.SubscriberMessage;

/** The formats of the messages between publishers and subscribers of the change feed. */
public final class ChangeFeedCodec {
  private static final int HELLO = 1;
  private static final int ACKNOWLEDGEMENT = 2;
  private static final int ENTRY_REJECTED = 3;

  private static final int ENTRIES = 1;
  private static final int SNAPSHOT = 2;
  private static final int HEARTBEAT = 3;
  private static final int REJECTED = 4;

  private ChangeFeedCodec() {}

  /** The bytes of a subscriber's message. */
  public static byte[] encode(SubscriberMessage message) {
    return CborValues.encode(
        message,
        (value, out) -> {
          if (value instanceof SubscriberMessage.Hello hello) {
            out.put(HELLO).put(hello.group()).put(hello.name()).put(hello.index());
          } else if (value instanceof SubscriberMessage.Acknowledgement acknowledgement) {
            out.put(ACKNOWLEDGEMENT).put(acknowledgement.index());
          } else if (value instanceof SubscriberMessage.EntryRejected rejected) {
            out.put(ENTRY_REJECTED).put(rejected.index()).put(rejected.reason());
          }
        });
  }

  /**
   * A subscriber's message.
   *
   * @throws UnknownFormatException if a later version made it
   * @throws MalformedMessageException if the bytes are not a subscriber's message
   */
  public static SubscriberMessage decodeSubscriberMessage(byte[] bytes) throws IOException {
    return CborValues.decode(
        bytes,
        in -> {
          int format = in.readInt();
          return switch (format) {
            case HELLO ->
                new SubscriberMessage.Hello(
                    readBoundedText(in), readBoundedText(in), readIndex(in));
            case ACKNOWLEDGEMENT -> new SubscriberMessage.Acknowledgement(readIndex(in));
            case ENTRY_REJECTED ->
                new SubscriberMessage.EntryRejected(readIndex(in), readBoundedText(in));
            default -> throw new UnknownFormatException("a subscriber's message", format);
          };
        });
  }

  /** The bytes of a publisher's message. */
  public static byte[] encode(PublisherMessage message) {
    return CborValues.encode(
        message,
        (value, out) -> {
          if (value instanceof PublisherMessage.Entries entries) {
            out.put(ENTRIES).put(entries.previousIndex());
            out.putList(entries.entries(), (entry, to) -> to.put(entry.index()).put(entry.body()));
          } else if (value instanceof PublisherMessage.Snapshot snapshot) {
            out.put(SNAPSHOT).put(snapshot.index()).put(snapshot.state());
          } else if (value instanceof PublisherMessage.Heartbeat heartbeat) {
            out.put(HEARTBEAT).put(heartbeat.index());
          } else if (value instanceof PublisherMessage.Rejected rejected) {
            out.put(REJECTED).put(rejected.reason());
          }
        });
  }

  /**
   * A publisher's message.
   *
   * @throws UnknownFormatException if a later version made it
   * @throws MalformedMessageException if the bytes are not a publisher's message
   */
  public static PublisherMessage decodePublisherMessage(byte[] bytes) throws IOException {
    return CborValues.decode(
        bytes,
        in -> {
          int format = in.readInt();
          return switch (format) {
            case ENTRIES ->
                new PublisherMessage.Entries(
                    readIndex(in),
                    in.readList(from -> new ChangeEntry(readIndex(from), from.readBytes())));
            case SNAPSHOT -> new PublisherMessage.Snapshot(readIndex(in), in.readBytes());
            case HEARTBEAT -> new PublisherMessage.Heartbeat(readIndex(in));
            case REJECTED -> new PublisherMessage.Rejected(readBoundedText(in));
            default -> throw new UnknownFormatException("a publisher's message", format);
          };
        });
  }

  private static String readBoundedText(CborValues.Reader in) throws IOException {
    String text = in.readText();
    if (text == null || text.length() > SubscriberMessage.MAX_TEXT_LENGTH) {
      throw new MalformedMessageException(
          "a text of up to %d characters".formatted(SubscriberMessage.MAX_TEXT_LENGTH),
          text == null ? "null" : text.length());
    }
    return text;
  }

  private static long readIndex(CborValues.Reader in) throws IOException {
    long index = in.readLong();
    if (index < 0) {
      throw new MalformedMessageException("a log index", index);
    }
    return index;
  }
}
