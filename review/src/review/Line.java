package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** A command or an answer of the meta protocol: its line, split at spaces, and its value. */
final class Line {
  final String text;
  final String[] words;
  byte[] value;

  private Line(String text) {
    this.text = text;
    this.words = text.split(" ");
  }

  /** Reads a line that ends in CRLF; null at the end of the stream before its first byte. */
  static Line read(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(96);
    for (int b = in.read(); ; b = in.read()) {
      if (b < 0) {
        if (bytes.size() == 0) {
          return null;
        }
        throw new EOFException("ended within the line '" + bytes + "'");
      }
      if (b == '\n') {
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return new Line(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
      }
      bytes.write(b);
    }
  }

  /** Reads the value of this length and its CRLF. */
  void readValue(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length + 2);
    if (bytes.length < length + 2) {
      throw new EOFException("ended within a value, after " + bytes.length + " bytes");
    }
    value = java.util.Arrays.copyOf(bytes, length);
  }

  /** The bytes of the command with each CRLF. */
  long byteCount() {
    return text.length() + 2 + (value == null ? 0 : value.length + 2);
  }

  String word(int index) {
    return index < words.length ? words[index] : "";
  }

  /** The flag of this name, without the name; empty if there is none. */
  String flag(char name) {
    for (int i = 1; i < words.length; i++) {
      if (!words[i].isEmpty() && words[i].charAt(0) == name && i > 1) {
        return words[i].substring(1);
      }
    }
    return "";
  }

  /** The property of this name in the flag P; empty if there is none. */
  String property(String name) {
    for (String property : flag('P').split(",")) {
      if (property.startsWith(name + "=")) {
        return property.substring(name.length() + 1);
      }
    }
    return "";
  }
}
