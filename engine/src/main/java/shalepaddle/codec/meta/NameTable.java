package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/** Looks up known names by their bytes, without allocating a string. Immutable. */
final class NameTable {
  private final byte[][] names;

  NameTable(List<String> names) {
    this.names =
        names.stream()
            .map(name -> name.getBytes(StandardCharsets.ISO_8859_1))
            .toArray(byte[][]::new);
  }

  /** Finds the name between two indices of the line; returns its index, -1 if it is unknown. */
  int find(byte[] line, int fromIndex, int toIndex) {
    for (int i = 0; i < names.length; i++) {
      if (Arrays.equals(names[i], 0, names[i].length, line, fromIndex, toIndex)) {
        return i;
      }
    }
    return -1;
  }

  /** Finds the name between two indices of the line; returns its index, -1 if it is unknown. */
  int find(ByteBuf line, int fromIndex, int toIndex) {
    for (int i = 0; i < names.length; i++) {
      if (names[i].length == toIndex - fromIndex && matches(names[i], line, fromIndex)) {
        return i;
      }
    }
    return -1;
  }

  private static boolean matches(byte[] name, ByteBuf line, int fromIndex) {
    for (int i = 0; i < name.length; i++) {
      if (line.getByte(fromIndex + i) != name[i]) {
        return false;
      }
    }
    return true;
  }
}
