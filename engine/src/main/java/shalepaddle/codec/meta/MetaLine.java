package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** One line of the memcache text protocol, read token by token; spaces separate the tokens. */
public final class MetaLine {
  /** Longest line taken, with its CRLF; well above a key of 250 bytes with its flags. */
  public static final int MAX_LINE_BYTES = 2048;

  /** Longest value taken or passed on. */
  static final int MAX_VALUE_BYTES = 4 << 20;

  /** Longest value that is buffered on its way to a client; larger ones are streamed. */
  static final int MAX_BUFFERED_VALUE_BYTES = 1 << 16;

  static final int CRLF_BYTES = 2;

  private static final int MAX_NUMBER_DIGITS = 9;

  private final byte[] bytes;
  private int position;
  private int tokenStart;

  private MetaLine(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Takes the next complete line off the buffer, null if it has not all come. */
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
    in.readBytes(bytes).skipBytes(CRLF_BYTES);
    return new MetaLine(bytes);
  }

  /** The line without its CRLF. Not to be changed. */
  byte[] bytes() {
    return bytes;
  }

  char charAt(int index) {
    return (char) (bytes[index] & 0xFF);
  }

  /** The first index of the character from one index to another, the latter if there is none. */
  int indexOf(char character, int from, int to) {
    int index = from;
    while (index < to && bytes[index] != character) {
      index++;
    }
    return index;
  }

  /** Goes to the next token; false at the line's end. */
  boolean next() {
    while (position < bytes.length && bytes[position] == ' ') {
      position++;
    }
    tokenStart = position;
    position = indexOf(' ', position, bytes.length);
    return position > tokenStart;
  }

  /** The index of the token's first byte. */
  int start() {
    return tokenStart;
  }

  /** The index behind the token's last byte. */
  int end() {
    return position;
  }

  /** The first character of the token: a flag's name. */
  char flag() {
    return (char) bytes[tokenStart];
  }

  boolean is(String token) {
    return matches(tokenStart, position, token);
  }

  /** Whether the bytes from one index to another are this ASCII text. */
  boolean matches(int from, int to, String text) {
    if (to - from != text.length()) {
      return false;
    }
    for (int i = 0; i < text.length(); i++) {
      if (bytes[from + i] != text.charAt(i)) {
        return false;
      }
    }
    return true;
  }

  /** The token from the given offset on. */
  String token(int offset) {
    return text(tokenStart + offset, position);
  }

  String text(int from, int to) {
    return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
  }

  /** The decimal number from one index to another, -1 if it is none or has over nine digits. */
  int number(int from, int to) {
    if (from >= to || to - from > MAX_NUMBER_DIGITS) {
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

  /** Reads the next token as the length of a value, in bytes. */
  int readValueLength() throws MalformedException {
    int length = next() ? number(tokenStart, position) : -1;
    if (length < 0 || length > MAX_VALUE_BYTES) {
      throw new MalformedException("bad data length");
    }
    return length;
  }

  /** Whether the token has no control characters, as a key and an id must not. */
  boolean isTokenPrintable() {
    for (int i = tokenStart; i < position; i++) {
      if ((bytes[i] <= ' ' && bytes[i] >= 0) || bytes[i] == 0x7F) {
        return false;
      }
    }
    return tokenStart < position;
  }

  /** Takes the CRLF after a value off the buffer, which has at least two bytes. */
  static void readEnd(ByteBuf in) throws MalformedException {
    if (in.readByte() != '\r' || in.readByte() != '\n') {
      throw new MalformedException("bad data chunk");
    }
  }

  /** The peer broke the protocol, and it is not known where its next message begins. */
  static final class MalformedException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * A fault without a stack trace: peers can cause many.
     *
     * @param message part of the answer to a client, or of the log line about a server
     */
    MalformedException(String message) {
      super(message, null, false, false);
    }
  }
}
