package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import shalepaddle.engine.Call;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.model.Request;
import shalepaddle.upstream.ServerCodec;

/** The meta protocol with cache servers: encodes requests and decodes replies. */
public final class MetaServerCodec implements ServerCodec {
  private final MemoryBudget budget;

  /** Creates a codec that receives any number of values at a time. */
  public MetaServerCodec() {
    this(new MemoryBudget(Long.MAX_VALUE));
  }

  /** Creates a codec whose budget limits the values that are received at a time. */
  public MetaServerCodec(MemoryBudget budget) {
    this.budget = budget;
  }

  @Override
  public ReplyDecoder decoder() {
    return new MetaReplyDecoder(budget);
  }

  @Override
  public ByteBuf encode(ByteBufAllocator allocator, Call call, long timeoutMillis) {
    return call.payload() instanceof MetaPayload metaPayload
        ? metaPayload.encode(allocator, timeoutMillis)
        : compose(allocator, call, Math.max(1, timeoutMillis));
  }

  @Override
  public ByteBuf encodeNoOps(ByteBufAllocator allocator, int count) {
    ByteBuf bytes = allocator.buffer(count * (WireNames.HEALTH_CHECK.length() + 2));
    for (int i = 0; i < count; i++) {
      ByteBufUtil.writeAscii(bytes, WireNames.HEALTH_CHECK);
      bytes.writeShort(MetaReplies.CRLF);
    }
    return bytes;
  }

  /** Encodes a request that was not received in the meta protocol. Retains the value. */
  private static ByteBuf compose(ByteBufAllocator allocator, Call call, long timeoutMillis) {
    Request request = call.request();
    ByteBuf value = call.payload().value();
    StringBuilder line = new StringBuilder(96);
    line.append(request.isWrite() ? WireNames.WRITE : WireNames.READ).append(' ');
    line.append(request.key()).append(' ');
    if (request.isWrite()) {
      line.append(value == null ? 0 : value.readableBytes());
    } else {
      line.append(WireNames.WANTS_VALUE);
    }
    line.append(' ').append(WireNames.REQUEST_ID).append(request.id());
    line.append(' ').append(WireNames.PROPERTIES).append(WireNames.SERVICE_CLASS);
    line.append(WireNames.PROPERTY_VALUE_SEPARATOR).append(request.serviceClass());
    if (request.tenant() != null) {
      appendProperty(line, WireNames.TENANT).append(request.tenant());
    }
    appendProperty(line, WireNames.DEADLINE_MILLIS).append(timeoutMillis);
    if (call.payload().idempotencyKey() != null) {
      appendProperty(line, WireNames.IDEMPOTENCY_KEY).append(call.payload().idempotencyKey());
    }
    if (request.isRetry()) {
      appendProperty(line, WireNames.RETRY).append(1);
    }
    ByteBuf head = allocator.buffer(line.length() + 2);
    ByteBufUtil.writeAscii(head, line);
    head.writeShort(MetaReplies.CRLF);
    if (!request.isWrite()) {
      return head;
    }
    ByteBuf crlf = allocator.buffer(2).writeShort(MetaReplies.CRLF);
    ByteBuf valueBlock = value == null ? Unpooled.EMPTY_BUFFER : value.retainedDuplicate();
    return allocator.compositeBuffer(3).addComponents(true, head, valueBlock, crlf);
  }

  private static StringBuilder appendProperty(StringBuilder line, char name) {
    return line.append(WireNames.PROPERTY_SEPARATOR)
        .append(name)
        .append(WireNames.PROPERTY_VALUE_SEPARATOR);
  }
}
