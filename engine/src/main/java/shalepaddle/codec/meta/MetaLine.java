package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** A line of the memcache text protocol, read token by token; tokens are separated by spaces. */
public final class MetaLine {
  /** Maximum length of a line with its CRLF; well above a key of 250 bytes with its flags. */
  public static final int MAX_LINE_BYTES = 2048;

  /** Maximum length of a value. */
  static final int MAX_VALUE_BYTES = 4 << 20;

  /** Maximum length of a server's value that is buffered; larger values are streamed. */
  static final int MAX_BUFFERED_VALUE_BYTES = 1 << 16;

  static final int CRLF_BYTES = 2;

  private static final int MAX_NUMBER_DIGITS = 9;

  private final byte[] bytes;
  private int position;
  private int tokenStart;

  private MetaLine(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Reads the next line from the buffer; returns null if it is not complete yet. */
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

  /** The line without its CRLF. Callers must not change it. */
  byte[] bytes() {
    return bytes;
  }

  char charAt(int index) {
    return (char) (bytes[index] & 0xFF);
  }

  /** The first index of the character between two indices; {@code toIndex} if there is none. */
  int indexOf(char character, int fromIndex, int toIndex) {
    int index = fromIndex;
    while (index < toIndex && bytes[index] != character) {
      index++;
    }
    return index;
  }

  /** Moves to the next token; returns false at the end of the line. */
  boolean nextToken() {
    while (position < bytes.length && bytes[position] == ' ') {
      position++;
    }
    tokenStart = position;
    position = indexOf(' ', position, bytes.length);
    return position > tokenStart;
  }

  /** The index of the first byte of the token. */
  int tokenStart() {
    return tokenStart;
  }

  /** The index after the last byte of the token. */
  int tokenEnd() {
    return position;
  }

  /** The first character of the token, which is the name of a flag. */
  char flag() {
    return (char) bytes[tokenStart];
  }

  boolean tokenEquals(String token) {
    return matches(tokenStart, position, token);
  }

  /** Whether the bytes between two indices equal this ASCII text. */
  boolean matches(int fromIndex, int toIndex, String text) {
    if (toIndex - fromIndex != text.length()) {
      return false;
    }
    for (int i = 0; i < text.length(); i++) {
      if (bytes[fromIndex + i] != text.charAt(i)) {
        return false;
      }
    }
    return true;
  }

  /** The text of the token without its first {@code offset} characters. */
  String tokenFrom(int offset) {
    return text(tokenStart + offset, position);
  }

  String text(int fromIndex, int toIndex) {
    return new String(bytes, fromIndex, toIndex - fromIndex, StandardCharsets.ISO_8859_1);
  }

  /** The decimal number between two indices, -1 if it is malformed or has over nine digits. */
  int parseNumber(int fromIndex, int toIndex) {
    if (fromIndex >= toIndex || toIndex - fromIndex > MAX_NUMBER_DIGITS) {
      return -1;
    }
    int number = 0;
    for (int i = fromIndex; i < toIndex; i++) {
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
    int valueBytes = nextToken() ? parseNumber(tokenStart, position) : -1;
    if (valueBytes < 0 || valueBytes > MAX_VALUE_BYTES) {
      throw new MalformedException("bad data length");
    }
    return valueBytes;
  }

  /** Whether the token is not empty and has no control characters, as required for keys and ids. */
  boolean isTokenPrintable() {
    for (int i = tokenStart; i < position; i++) {
      if ((bytes[i] <= ' ' && bytes[i] >= 0) || bytes[i] == 0x7F) {
        return false;
      }
    }
    return tokenStart < position;
  }

  /** Reads the CRLF after a value from the buffer, which must have at least two bytes. */
  static void readCrlf(ByteBuf in) throws MalformedException {
    if (in.readByte() != '\r' || in.readByte() != '\n') {
      throw new MalformedException("bad data chunk");
    }
  }

  /** Thrown if the peer breaks the protocol and the start of its next message is not known. */
  static final class MalformedException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception without a stack trace, since a faulty peer can cause many of them.
     *
     * @param message part of the answer to a client or of the log line about a server
     */
    MalformedException(String message) {
      super(message, null, false, false);
    }
  }
}
