package shalepaddle.encoding;

import java.io.IOException;
import shalepaddle.changefeed.ChangeEntry;
import shalepaddle.changefeed.PublisherMessage;
import shalepaddle.changefeed.SubscriberMessage;

/** Encodes and decodes the messages between publishers and subscribers of the change feed. */
public final class ChangeFeedCodec {
  private static final int HELLO_FORMAT = 1;
  private static final int ACKNOWLEDGEMENT_FORMAT = 2;
  private static final int ENTRY_REJECTED_FORMAT = 3;

  private static final int ENTRIES_FORMAT = 1;
  private static final int SNAPSHOT_FORMAT = 2;
  private static final int HEARTBEAT_FORMAT = 3;
  private static final int REJECTED_FORMAT = 4;

  private ChangeFeedCodec() {}

  /** Encodes a subscriber's message. */
  public static byte[] encode(SubscriberMessage message) {
    return CborValues.encode(
        message,
        (value, out) -> {
          if (value instanceof SubscriberMessage.Hello hello) {
            out.put(HELLO_FORMAT).put(hello.group()).put(hello.name()).put(hello.index());
          } else if (value instanceof SubscriberMessage.Acknowledgement acknowledgement) {
            out.put(ACKNOWLEDGEMENT_FORMAT).put(acknowledgement.index());
          } else if (value instanceof SubscriberMessage.EntryRejected entryRejection) {
            out.put(ENTRY_REJECTED_FORMAT).put(entryRejection.index()).put(entryRejection.reason());
          }
        });
  }

  /**
   * Decodes a subscriber's message.
   *
   * @throws UnknownFormatException if the message has a format of a later version
   * @throws MalformedMessageException if the bytes are not a subscriber's message
   */
  public static SubscriberMessage decodeSubscriberMessage(byte[] bytes) throws IOException {
    return CborValues.decode(
        bytes,
        in -> {
          int format = in.readInt();
          return switch (format) {
            case HELLO_FORMAT ->
                new SubscriberMessage.Hello(
                    readBoundedText(in), readBoundedText(in), readIndex(in));
            case ACKNOWLEDGEMENT_FORMAT -> new SubscriberMessage.Acknowledgement(readIndex(in));
            case ENTRY_REJECTED_FORMAT ->
                new SubscriberMessage.EntryRejected(readIndex(in), readBoundedText(in));
            default -> throw new UnknownFormatException("a subscriber's message", format);
          };
        });
  }

  /** Encodes a publisher's message. */
  public static byte[] encode(PublisherMessage message) {
    return CborValues.encode(
        message,
        (value, out) -> {
          if (value instanceof PublisherMessage.Entries entries) {
            out.put(ENTRIES_FORMAT).put(entries.previousIndex());
            out.putList(entries.entries(), (entry, to) -> to.put(entry.index()).put(entry.body()));
          } else if (value instanceof PublisherMessage.Snapshot snapshot) {
            out.put(SNAPSHOT_FORMAT).put(snapshot.index()).put(snapshot.state());
          } else if (value instanceof PublisherMessage.Heartbeat heartbeat) {
            out.put(HEARTBEAT_FORMAT).put(heartbeat.index());
          } else if (value instanceof PublisherMessage.Rejection rejection) {
            out.put(REJECTED_FORMAT).put(rejection.reason());
          }
        });
  }

  /**
   * Decodes a publisher's message.
   *
   * @throws UnknownFormatException if the message has a format of a later version
   * @throws MalformedMessageException if the bytes are not a publisher's message
   */
  public static PublisherMessage decodePublisherMessage(byte[] bytes) throws IOException {
    return CborValues.decode(
        bytes,
        in -> {
          int format = in.readInt();
          return switch (format) {
            case ENTRIES_FORMAT ->
                new PublisherMessage.Entries(
                    readIndex(in),
                    in.readList(from -> new ChangeEntry(readIndex(from), from.readBytes())));
            case SNAPSHOT_FORMAT -> new PublisherMessage.Snapshot(readIndex(in), in.readBytes());
            case HEARTBEAT_FORMAT -> new PublisherMessage.Heartbeat(readIndex(in));
            case REJECTED_FORMAT -> new PublisherMessage.Rejection(readBoundedText(in));
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
