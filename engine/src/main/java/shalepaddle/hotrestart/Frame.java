package shalepaddle.hotrestart;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import shalepaddle.settings.FormatException;

/**
 * The frame of each file: a line with the format and its version, the length of the rest in bytes
 * and its CRC-32, then the content. A file that is truncated, damaged or of another version is
 * rejected before any of its content is used.
 */
final class Frame {
  private Frame() {}

  /** The file's bytes with this content. */
  static byte[] wrap(String version, String text) {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    String header = version + " " + body.length + " " + Long.toHexString(checksum(body, 0)) + "\n";
    byte[] start = header.getBytes(StandardCharsets.US_ASCII);
    byte[] file = new byte[start.length + body.length];
    System.arraycopy(start, 0, file, 0, start.length);
    System.arraycopy(body, 0, file, start.length, body.length);
    return file;
  }

  /**
   * The content of a file with these bytes.
   *
   * @throws FormatException if it is truncated, damaged or of another version
   */
  static String unwrap(String version, byte[] file) throws FormatException {
    int end = 0;
    while (end < file.length && file[end] != '\n') {
      end++;
    }
    String[] header = new String(file, 0, end, StandardCharsets.US_ASCII).split(" ", 0);
    if (header.length != 3 || !header[0].equals(version)) {
      throw new FormatException("of another version, or none");
    }
    if (!header[1].equals(Integer.toString(file.length - end - 1))
        || !header[2].equals(Long.toHexString(checksum(file, end + 1)))) {
      throw new FormatException("cut short or damaged");
    }
    return new String(file, end + 1, file.length - end - 1, StandardCharsets.UTF_8);
  }

  private static long checksum(byte[] bytes, int from) {
    CRC32 crc = new CRC32();
    crc.update(bytes, from, bytes.length - from);
    return crc.getValue();
  }
}
