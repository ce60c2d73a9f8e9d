package shalepaddle.testkit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A command as a cache server reads it.
 *
 * @param write whether it is {@code ms}, else {@code mg}
 * @param key what it is about
 * @param id the request's id
 * @param properties names and values of its flag {@code P}
 * @param value a write's value, null for a read
 */
// Never compared; owned by the stand-in that reads it.
@SuppressWarnings("ArrayRecordComponent")
record MetaRequest(
    boolean write, String key, String id, Map<String, String> properties, byte[] value) {

  /** Milliseconds for which the sender waits. */
  long deadlineMillis() {
    return Long.parseLong(properties.getOrDefault("d", "0"));
  }

  /** Reads commands; one that cannot be read is a failure of the pipeline. */
  static final class Decoder extends ByteToMessageDecoder {
    private String[] words;

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
      if (words == null) {
        int length = in.bytesBefore((byte) '\n');
        if (length < 0) {
          return;
        }
        String line = in.readSlice(length).toString(StandardCharsets.ISO_8859_1);
        in.skipBytes(1);
        words = line.substring(0, line.length() - 1).split(" ");
      }
      boolean write = words[0].equals("ms");
      byte[] value = null;
      if (write) {
        int length = Integer.parseInt(words[2]);
        if (in.readableBytes() < length + 2) {
          return;
        }
        value = new byte[length];
        in.readBytes(value).skipBytes(2);
      } else if (!words[0].equals("mg")) {
        throw new IllegalArgumentException("no such command: " + words[0]);
      }
      out.add(request(words, write, value));
      words = null;
    }

    private static MetaRequest request(String[] words, boolean write, byte[] value) {
      String id = null;
      Map<String, String> properties = new HashMap<>();
      for (int i = write ? 3 : 2; i < words.length; i++) {
        if (words[i].startsWith("O")) {
          id = words[i].substring(1);
        } else if (words[i].startsWith("P")) {
          for (String pair : words[i].substring(1).split(",", 0)) {
            int equals = pair.indexOf('=');
            properties.put(pair.substring(0, equals), pair.substring(equals + 1));
          }
        }
      }
      return new MetaRequest(write, words[1], id, properties, value);
    }
  }
}
