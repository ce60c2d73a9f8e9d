package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;

/**
 * What a line says of who asks for what, read where it lies: class, tenant, key and repeat, and
 * nothing else. Guards against paying for a request that is then refused as much as for one that is
 * served: no line is copied, no word made, nothing checked that the refusal does not rest on.
 *
 * <p>A line of which this cannot tell the class is left to the decoder, which says what is wrong
 * with it.
 */
final class MetaLinePeek {
  private final RequestNames names;

  /** What the last line said; -1 for a class or tenant that is not known, or not named. */
  int serviceClass;

  int tenant;
  boolean repeat;
  long subject;

  /** Bytes of the value that follows, -1 where none does. */
  int length;

  MetaLinePeek(RequestNames names) {
    this.names = names;
  }

  /**
   * Looks at the line between two places, without its CRLF; false if it is no request of a known
   * class.
   */
  boolean read(ByteBuf in, int start, int end) {
    serviceClass = -1;
    tenant = -1;
    repeat = false;
    length = -1;
    if (end - start < 4 || in.getByte(start) != 'm' || in.getByte(start + 2) != ' ') {
      return false;
    }
    byte command = in.getByte(start + 1);
    if (command != 'g' && command != 's') {
      return false;
    }
    int at = skipSpaces(in, start + 3, end);
    int wordEnd = wordEnd(in, at, end);
    subject = hash(in, at, wordEnd);
    if (command == 's') {
      at = skipSpaces(in, wordEnd, end);
      wordEnd = wordEnd(in, at, end);
      length = number(in, at, wordEnd);
      if (length < 0 || length > MetaLine.MAX_VALUE) {
        return false;
      }
    }
    while ((at = skipSpaces(in, wordEnd, end)) < end) {
      wordEnd = wordEnd(in, at, end);
      if (in.getByte(at) == 'P') {
        figures(in, at + 1, wordEnd);
      }
    }
    return serviceClass >= 0;
  }

  private void figures(ByteBuf in, int start, int end) {
    int from = start;
    while (from < end) {
      int to = from;
      while (to < end && in.getByte(to) != ',') {
        to++;
      }
      if (to - from > 2 && in.getByte(from + 1) == '=') {
        switch (in.getByte(from)) {
          case 'c' -> serviceClass = names.classes().find(in, from + 2, to);
          case 't' -> tenant = names.tenants().find(in, from + 2, to);
          case 'r' -> repeat = to - from == 3 && in.getByte(from + 2) == '1';
          default -> {
            // Nothing that a refusal rests on.
          }
        }
      }
      from = to + 1;
    }
  }

  private static int skipSpaces(ByteBuf in, int from, int end) {
    int at = from;
    while (at < end && in.getByte(at) == ' ') {
      at++;
    }
    return at;
  }

  private static int wordEnd(ByteBuf in, int from, int end) {
    int at = from;
    while (at < end && in.getByte(at) != ' ') {
      at++;
    }
    return at;
  }

  private static int number(ByteBuf in, int from, int to) {
    if (from >= to || to - from > 9) {
      return -1;
    }
    int number = 0;
    for (int i = from; i < to; i++) {
      int digit = in.getByte(i) - '0';
      if (digit < 0 || digit > 9) {
        return -1;
      }
      number = 10 * number + digit;
    }
    return number;
  }

  /** FNV-1a, 64 bits: it only tells repeats apart, and is mixed again there. */
  private static long hash(ByteBuf in, int from, int to) {
    long hash = 0xCBF29CE484222325L;
    for (int i = from; i < to; i++) {
      hash = (hash ^ (in.getByte(i) & 0xFF)) * 0x100000001B3L;
    }
    return hash;
  }
}
