package shalepaddle.testkit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A command received by a cache server.
 *
 * @param isWrite true for {@code ms}
 * @param key the key that is read or written, null for a no-op ({@code mn})
 * @param id the request id, null for a no-op
 * @param properties names and values from the command's {@code P} flag
 * @param value the value of a write, null for a read
 */
// An array is safe here: requests are never compared, and only the decoding stand-in uses it.
@SuppressWarnings("ArrayRecordComponent")
record MetaRequest(
    boolean isWrite, String key, String id, Map<String, String> properties, byte[] value) {

  /** The client's deadline in milliseconds. */
  long deadlineMillis() {
    return Long.parseLong(properties.getOrDefault("d", "0"));
  }

  boolean isNoOp() {
    return key == null;
  }

  /** Decodes commands; throws if a command is unknown or malformed. */
  static final class Decoder extends ByteToMessageDecoder {
    private String[] tokens;

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
      if (tokens == null) {
        int lineBytes = in.bytesBefore((byte) '\n');
        if (lineBytes < 0) {
          return;
        }
        String line = in.readSlice(lineBytes).toString(StandardCharsets.ISO_8859_1);
        in.skipBytes(1);
        tokens = line.substring(0, line.length() - 1).split(" ");
      }
      boolean isWrite = tokens[0].equals("ms");
      byte[] value = null;
      if (isWrite) {
        int valueBytes = Integer.parseInt(tokens[2]);
        if (in.readableBytes() < valueBytes + 2) {
          return;
        }
        value = new byte[valueBytes];
        in.readBytes(value).skipBytes(2);
      } else if (tokens[0].equals("mn")) {
        tokens = null;
        out.add(new MetaRequest(false, null, null, Map.of(), null));
        return;
      } else if (!tokens[0].equals("mg")) {
        throw new IllegalArgumentException("unknown command: " + tokens[0]);
      }
      out.add(toRequest(tokens, isWrite, value));
      tokens = null;
    }

    private static MetaRequest toRequest(String[] tokens, boolean isWrite, byte[] value) {
      String id = null;
      Map<String, String> properties = new HashMap<>();
      for (int i = isWrite ? 3 : 2; i < tokens.length; i++) {
        if (tokens[i].startsWith("O")) {
          id = tokens[i].substring(1);
        } else if (tokens[i].startsWith("P")) {
          for (String pair : tokens[i].substring(1).split(",", 0)) {
            int equalsIndex = pair.indexOf('=');
            properties.put(pair.substring(0, equalsIndex), pair.substring(equalsIndex + 1));
          }
        }
      }
      return new MetaRequest(isWrite, tokens[1], id, properties, value);
    }
  }
}
