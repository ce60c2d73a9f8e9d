package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;

/**
 * Extracts the properties that admission needs from a command line in the buffer, without copying:
 * class, tenant, key and whether the request is a retry. Keeps a rejected request cheaper than a
 * served one: allocates nothing, and validates only what the rejection needs.
 *
 * <p>Belongs to one decoder; the getters refer to the line that was read last. A line with an
 * unknown class is left to the decoder, which reports the error to the client.
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

  /** The index of the class in the settings, -1 if it is unknown. */
  int serviceClassIndex() {
    return serviceClassIndex;
  }

  /** The index of the tenant in the settings, -1 if it is unknown. */
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

  /** The length of the value without its CRLF. */
  int valueBytes() {
    return valueBytes;
  }

  /**
   * Reads the line between two indices, without its CRLF.
   *
   * @return whether the line is a request of a known class
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
    int index = skipSpaces(in, start + 3, end);
    int tokenEnd = tokenEnd(in, index, end);
    keyHash = hash(in, index, tokenEnd);
    if (isWrite) {
      index = skipSpaces(in, tokenEnd, end);
      tokenEnd = tokenEnd(in, index, end);
      valueBytes = parseNumber(in, index, tokenEnd);
      if (valueBytes < 0 || valueBytes > MetaLine.MAX_VALUE_BYTES) {
        return false;
      }
    }
    while ((index = skipSpaces(in, tokenEnd, end)) < end) {
      tokenEnd = tokenEnd(in, index, end);
      if (in.getByte(index) == WireNames.PROPERTIES) {
        readProperties(in, index + 1, tokenEnd);
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
    int propertyStart = start;
    while (propertyStart < end) {
      int propertyEnd = indexOf(in, WireNames.PROPERTY_SEPARATOR, propertyStart, end);
      if (propertyEnd - propertyStart > 2
          && in.getByte(propertyStart + 1) == WireNames.PROPERTY_VALUE_SEPARATOR) {
        readProperty(in, (char) in.getByte(propertyStart), propertyStart + 2, propertyEnd);
      }
      propertyStart = propertyEnd + 1;
    }
  }

  private void readProperty(ByteBuf in, char name, int fromIndex, int toIndex) {
    switch (name) {
      case WireNames.SERVICE_CLASS ->
          serviceClassIndex = names.classes().find(in, fromIndex, toIndex);
      case WireNames.TENANT -> tenantIndex = names.tenants().find(in, fromIndex, toIndex);
      case WireNames.RETRY -> isRetry = toIndex - fromIndex == 1 && in.getByte(fromIndex) == '1';
      default -> {
        // Admission does not need other properties.
      }
    }
  }

  private static int skipSpaces(ByteBuf in, int fromIndex, int end) {
    int index = fromIndex;
    while (index < end && in.getByte(index) == ' ') {
      index++;
    }
    return index;
  }

  private static int tokenEnd(ByteBuf in, int fromIndex, int end) {
    return indexOf(in, ' ', fromIndex, end);
  }

  private static int indexOf(ByteBuf in, char character, int fromIndex, int end) {
    int index = fromIndex;
    while (index < end && in.getByte(index) != character) {
      index++;
    }
    return index;
  }

  /** The decimal number between two indices of the buffer, see {@link MetaLine#parseNumber}. */
  private static int parseNumber(ByteBuf in, int fromIndex, int toIndex) {
    if (fromIndex >= toIndex || toIndex - fromIndex > 9) {
      return NONE;
    }
    int number = 0;
    for (int i = fromIndex; i < toIndex; i++) {
      int digit = in.getByte(i) - '0';
      if (digit < 0 || digit > 9) {
        return NONE;
      }
      number = 10 * number + digit;
    }
    return number;
  }

  /**
   * The 64-bit FNV-1a hash of the bytes between two indices. Admission hashes it again together
   * with the service class, so its bits need not be distributed evenly.
   */
  private static long hash(ByteBuf in, int fromIndex, int toIndex) {
    long hash = FNV_OFFSET_BASIS;
    for (int i = fromIndex; i < toIndex; i++) {
      hash = (hash ^ (in.getByte(i) & 0xFF)) * FNV_PRIME;
    }
    return hash;
  }
}
