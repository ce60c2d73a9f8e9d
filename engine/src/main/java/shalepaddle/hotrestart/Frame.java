package shalepaddle.hotrestart;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import shalepaddle.settings.FormatException;

/**
 * The frame of each file: a header line with the format and its version, the content's length in
 * bytes and its CRC-32, followed by the content. A file that is truncated, damaged or of another
 * format or version is rejected before any of its content is used.
 */
final class Frame {
  private Frame() {}

  /** Returns the bytes of a file with this content. */
  static byte[] wrap(String version, String content) {
    byte[] body = content.getBytes(StandardCharsets.UTF_8);
    String header = version + " " + body.length + " " + Long.toHexString(checksum(body, 0)) + "\n";
    byte[] headerBytes = header.getBytes(StandardCharsets.US_ASCII);
    byte[] file = new byte[headerBytes.length + body.length];
    System.arraycopy(headerBytes, 0, file, 0, headerBytes.length);
    System.arraycopy(body, 0, file, headerBytes.length, body.length);
    return file;
  }

  /**
   * Returns the content of a file with these bytes.
   *
   * @throws FormatException if the file is truncated, damaged or of another format or version
   */
  static String unwrap(String version, byte[] file) throws FormatException {
    int headerLength = 0;
    while (headerLength < file.length && file[headerLength] != '\n') {
      headerLength++;
    }
    String[] headerFields =
        new String(file, 0, headerLength, StandardCharsets.US_ASCII).split(" ", 0);
    if (headerFields.length != 3 || !headerFields[0].equals(version)) {
      throw new FormatException("not in format " + version);
    }
    if (!headerFields[1].equals(Integer.toString(file.length - headerLength - 1))
        || !headerFields[2].equals(Long.toHexString(checksum(file, headerLength + 1)))) {
      throw new FormatException("truncated or damaged");
    }
    return new String(
        file, headerLength + 1, file.length - headerLength - 1, StandardCharsets.UTF_8);
  }

  private static long checksum(byte[] bytes, int offset) {
    CRC32 crc = new CRC32();
    crc.update(bytes, offset, bytes.length - offset);
    return crc.getValue();
  }
}
