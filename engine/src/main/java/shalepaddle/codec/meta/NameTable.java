package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/** Finds known names by their bytes, without allocating a string. Immutable. */
final class NameTable {
  private final byte[][] names;

  NameTable(List<String> names) {
    this.names =
        names.stream()
            .map(name -> name.getBytes(StandardCharsets.ISO_8859_1))
            .toArray(byte[][]::new);
  }

  /** The index of the name in the list, -1 if it is not known. */
  int find(byte[] line, int from, int to) {
    for (int i = 0; i < names.length; i++) {
      if (Arrays.equals(names[i], 0, names[i].length, line, from, to)) {
        return i;
      }
    }
    return -1;
  }

  /** The index of the name in the list, -1 if it is not known. */
  int find(ByteBuf line, int from, int to) {
    for (int i = 0; i < names.length; i++) {
      if (names[i].length == to - from && matches(names[i], line, from)) {
        return i;
      }
    }
    return -1;
  }

  private static boolean matches(byte[] name, ByteBuf line, int from) {
    for (int i = 0; i < name.length; i++) {
      if (line.getByte(from + i) != name[i]) {
        return false;
      }
    }
    return true;
  }
}
