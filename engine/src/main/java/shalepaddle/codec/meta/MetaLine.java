package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** One line of the memcache text protocol, cut at its spaces. */
public final class MetaLine {
  /** Longest line taken, well above a key of 250 bytes with its flags. */
  public static final int MAX_LINE_BYTES = 2048;

  /** Longest value taken or passed on. */
  static final int MAX_VALUE = 4 << 20;

  /** Longest value that is held whole on its way to a client; larger ones go on in pieces. */
  static final int MAX_WHOLE = 1 << 16;

  final byte[] bytes;
  private int position;
  private int wordStart;

  private MetaLine(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Takes the next whole line off the buffer, null if it has not all come. */
  static MetaLine read(ByteBuf in) throws MalformedException {
    int length = in.bytesBefore(Math.min(in.readableBytes(), MAX_LINE_BYTES), (byte) '\n');
    if (length < 0) {
      if (in.readableBytes() >= MAX_LINE_BYTES) {
        throw new MalformedException("line too long");
      }
      return null;
    }
    if (length == 0 || in.getByte(in.readerIndex() + length - 1) != '\r') {
      throw new MalformedException("line does not end in CRLF");
    }
    byte[] bytes = new byte[length - 1];
    in.readBytes(bytes).skipBytes(2);
    return new MetaLine(bytes);
  }

  /** Goes to the next word; false at the line's end. */
  boolean next() {
    while (position < bytes.length && bytes[position] == ' ') {
      position++;
    }
    wordStart = position;
    while (position < bytes.length && bytes[position] != ' ') {
      position++;
    }
    return position > wordStart;
  }

  int start() {
    return wordStart;
  }

  int end() {
    return position;
  }

  /** The first byte of the present word: a flag's name. */
  char flag() {
    return (char) bytes[wordStart];
  }

  boolean is(String word) {
    if (position - wordStart != word.length()) {
      return false;
    }
    for (int i = 0; i < word.length(); i++) {
      if (bytes[wordStart + i] != word.charAt(i)) {
        return false;
      }
    }
    return true;
  }

  /** The present word from the given offset on. */
  String word(int offset) {
    return text(wordStart + offset, position);
  }

  String text(int from, int to) {
    return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
  }

  /** The decimal number between two places, -1 if it is none or has over nine digits. */
  int number(int from, int to) {
    if (from >= to || to - from > 9) {
      return -1;
    }
    int number = 0;
    for (int i = from; i < to; i++) {
      int digit = bytes[i] - '0';
      if (digit < 0 || digit > 9) {
        return -1;
      }
      number = 10 * number + digit;
    }
    return number;
  }

  /** Whether all bytes between two places can be seen: what a key and an id are made of. */
  boolean visible(int from, int to) {
    for (int i = from; i < to; i++) {
      if ((bytes[i] <= ' ' && bytes[i] >= 0) || bytes[i] == 0x7F) {
        return false;
      }
    }
    return from < to;
  }

  /** Takes the CRLF after a value off the buffer. */
  static void readEnd(ByteBuf in) throws MalformedException {
    if (in.readByte() != '\r' || in.readByte() != '\n') {
      throw new MalformedException("bad data chunk");
    }
  }

  /** The peer broke the protocol, and what follows cannot be told apart any more. */
  static final class MalformedException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedException(String message) {
      super(message, null, false, false);
    }
  }
}
