package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;

/**
 * Reads from a command line in the buffer, without copying, what admission needs: class, tenant,
 * key and whether it is a retry. So a request that is rejected costs less than one that is served:
 * nothing is allocated and nothing is validated that the rejection does not need.
 *
 * <p>Belongs to one decoder; the getters tell of the line that was read last. A line whose class it
 * does not know is left to the decoder, which tells the client what is wrong.
 */
final class MetaLinePeek {
  private static final long FNV_OFFSET_BASIS = 0xCBF29CE484222325L;
  private static final long FNV_PRIME = 0x100000001B3L;
  private static final int MIN_LINE_BYTES = 4;
  private static final int NONE = -1;

  private final RequestNames names;
  private int serviceClassIndex;
  private int tenantIndex;
  private boolean isRetry;
  private long keyHash;
  private int valueBytes;

  MetaLinePeek(RequestNames names) {
    this.names = names;
  }

  /** The index of the class in the settings, -1 for none that is known. */
  int serviceClassIndex() {
    return serviceClassIndex;
  }

  /** The index of the tenant in the settings, -1 for none that is known. */
  int tenantIndex() {
    return tenantIndex;
  }

  boolean isRetry() {
    return isRetry;
  }

  long keyHash() {
    return keyHash;
  }

  /** Whether a value follows the line. */
  boolean isWrite() {
    return valueBytes != NONE;
  }

  /** The length of that value without its CRLF. */
  int valueBytes() {
    return valueBytes;
  }

  /**
   * Reads the line from one index to another, without its CRLF.
   *
   * @return whether it is a request of a known class
   */
  boolean read(ByteBuf in, int start, int end) {
    serviceClassIndex = NONE;
    tenantIndex = NONE;
    isRetry = false;
    valueBytes = NONE;
    boolean isWrite = startsWith(in, start, end, WireNames.WRITE);
    if (!isWrite && !startsWith(in, start, end, WireNames.READ)) {
      return false;
    }
    int at = skipSpaces(in, start + 3, end);
    int tokenEnd = tokenEnd(in, at, end);
    keyHash = hash(in, at, tokenEnd);
    if (isWrite) {
      at = skipSpaces(in, tokenEnd, end);
      tokenEnd = tokenEnd(in, at, end);
      valueBytes = number(in, at, tokenEnd);
      if (valueBytes < 0 || valueBytes > MetaLine.MAX_VALUE_BYTES) {
        return false;
      }
    }
    while ((at = skipSpaces(in, tokenEnd, end)) < end) {
      tokenEnd = tokenEnd(in, at, end);
      if (in.getByte(at) == WireNames.PROPERTIES) {
        readProperties(in, at + 1, tokenEnd);
      }
    }
    return serviceClassIndex >= 0;
  }

  /** Whether the line begins with a command of two characters and a space. */
  private static boolean startsWith(ByteBuf in, int start, int end, String command) {
    return end - start >= MIN_LINE_BYTES
        && in.getByte(start) == command.charAt(0)
        && in.getByte(start + 1) == command.charAt(1)
        && in.getByte(start + 2) == ' ';
  }

  private void readProperties(ByteBuf in, int start, int end) {
    int from = start;
    while (from < end) {
      int to = indexOf(in, WireNames.PROPERTY_SEPARATOR, from, end);
      if (to - from > 2 && in.getByte(from + 1) == WireNames.PROPERTY_VALUE) {
        readProperty(in, (char) in.getByte(from), from + 2, to);
      }
      from = to + 1;
    }
  }

  private void readProperty(ByteBuf in, char name, int from, int to) {
    switch (name) {
      case WireNames.SERVICE_CLASS -> serviceClassIndex = names.classes().find(in, from, to);
      case WireNames.TENANT -> tenantIndex = names.tenants().find(in, from, to);
      case WireNames.RETRY -> isRetry = to - from == 1 && in.getByte(from) == '1';
      default -> {
        // Admission does not need it.
      }
    }
  }

  private static int skipSpaces(ByteBuf in, int from, int end) {
    int at = from;
    while (at < end && in.getByte(at) == ' ') {
      at++;
    }
    return at;
  }

  private static int tokenEnd(ByteBuf in, int from, int end) {
    return indexOf(in, ' ', from, end);
  }

  private static int indexOf(ByteBuf in, char character, int from, int end) {
    int at = from;
    while (at < end && in.getByte(at) != character) {
      at++;
    }
    return at;
  }

  /** As {@link MetaLine#number}, on the buffer. */
  private static int number(ByteBuf in, int from, int to) {
    if (from >= to || to - from > 9) {
      return NONE;
    }
    int number = 0;
    for (int i = from; i < to; i++) {
      int digit = in.getByte(i) - '0';
      if (digit < 0 || digit > 9) {
        return NONE;
      }
      number = 10 * number + digit;
    }
    return number;
  }

  /** FNV-1a, 64 bits. Admission mixes it again. */
  private static long hash(ByteBuf in, int from, int to) {
    long hash = FNV_OFFSET_BASIS;
    for (int i = from; i < to; i++) {
      hash = (hash ^ (in.getByte(i) & 0xFF)) * FNV_PRIME;
    }
    return hash;
  }
}
