package shalepaddle.testkit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** A response received by a client: its first line, and its value if it has one. */
record MetaResponse(String firstLine, String value) {

  /** Decodes responses; accepts any first line. */
  static final class Decoder extends ByteToMessageDecoder {
    private String firstLine;

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
      if (firstLine == null) {
        int lineBytes = in.bytesBefore((byte) '\n');
        if (lineBytes < 0) {
          return;
        }
        firstLine = in.readSlice(lineBytes).toString(StandardCharsets.ISO_8859_1).stripTrailing();
        in.skipBytes(1);
      }
      String value = null;
      if (firstLine.startsWith("VA ")) {
        int valueBytes = Integer.parseInt(firstLine.split(" ", 0)[1]);
        if (in.readableBytes() < valueBytes + 2) {
          return;
        }
        value = in.readSlice(valueBytes).toString(StandardCharsets.ISO_8859_1);
        in.skipBytes(2);
      }
      out.add(new MetaResponse(firstLine, value));
      firstLine = null;
    }
  }
}
