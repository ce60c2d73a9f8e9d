package shalepaddle.hotrestart;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import shalepaddle.settings.FormatException;

/**
 * What each file begins with: a line with the format and its version, the length of the rest and
 * its CRC-32. A file that is cut short, of another version or damaged is told from a whole one
 * before any of it is believed.
 */
final class Frame {
  private Frame() {}

  static byte[] wrap(String version, String text) {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    String head = version + " " + body.length + " " + Long.toHexString(checksum(body, 0)) + "\n";
    byte[] start = head.getBytes(StandardCharsets.US_ASCII);
    byte[] whole = new byte[start.length + body.length];
    System.arraycopy(start, 0, whole, 0, start.length);
    System.arraycopy(body, 0, whole, start.length, body.length);
    return whole;
  }

  /** The text that it was put around. */
  static String unwrap(String version, byte[] whole) throws FormatException {
    int end = 0;
    while (end < whole.length && whole[end] != '\n') {
      end++;
    }
    String[] head = new String(whole, 0, end, StandardCharsets.US_ASCII).split(" ", 0);
    if (head.length != 3 || !head[0].equals(version)) {
      throw new FormatException("of another version, or none");
    }
    if (!head[1].equals(Integer.toString(whole.length - end - 1))
        || !head[2].equals(Long.toHexString(checksum(whole, end + 1)))) {
      throw new FormatException("cut short or damaged");
    }
    return new String(whole, end + 1, whole.length - end - 1, StandardCharsets.UTF_8);
  }

  private static long checksum(byte[] bytes, int from) {
    CRC32 crc = new CRC32();
    crc.update(bytes, from, bytes.length - from);
    return crc.getValue();
  }
}
