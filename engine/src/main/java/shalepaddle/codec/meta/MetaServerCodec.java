package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import shalepaddle.engine.Call;
import shalepaddle.model.Request;
import shalepaddle.upstream.ServerCodec;

/** The meta protocol, as cache servers speak it. */
public final class MetaServerCodec implements ServerCodec {
  @Override
  public ReplyDecoder decoder() {
    return new MetaReplyDecoder();
  }

  @Override
  public ByteBuf encode(ByteBufAllocator allocator, Call call, long millis) {
    // What a client wrote in this protocol goes on as it came.
    return call.payload() instanceof MetaPayload own
        ? own.encode(allocator, millis)
        : compose(allocator, call, Math.max(1, millis));
  }

  /** A request that came in another protocol, or in none. */
  private static ByteBuf compose(ByteBufAllocator allocator, Call call, long millis) {
    Request request = call.request();
    ByteBuf value = call.payload().value();
    StringBuilder line = new StringBuilder(96);
    line.append(request.write() ? "ms " : "mg ").append(request.key());
    if (request.write()) {
      line.append(' ').append(value == null ? 0 : value.readableBytes());
    } else {
      line.append(" v");
    }
    line.append(" O").append(request.id()).append(" Pc=").append(request.serviceClass());
    if (request.tenant() != null) {
      line.append(",t=").append(request.tenant());
    }
    line.append(",d=").append(millis);
    if (call.payload().idempotencyKey() != null) {
      line.append(",k=").append(call.payload().idempotencyKey());
    }
    if (request.retry()) {
      line.append(",r=1");
    }
    ByteBuf head = allocator.buffer(line.length() + 2);
    ByteBufUtil.writeAscii(head, line);
    head.writeShort(0x0D0A);
    if (!request.write()) {
      return head;
    }
    ByteBuf end = allocator.buffer(2).writeShort(0x0D0A);
    ByteBuf block = value == null ? Unpooled.EMPTY_BUFFER : value.retainedDuplicate();
    return allocator.compositeBuffer(3).addComponents(true, head, block, end);
  }
}
