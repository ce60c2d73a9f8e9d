package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import java.util.List;
import shalepaddle.engine.LargeReply;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.engine.ServerReply;
import shalepaddle.model.LoadReport;
import shalepaddle.model.Outcome;
import shalepaddle.upstream.ServerCodec;

/**
 * Decodes the replies on one cache server's connection. After a reply with a malformed line, length
 * or end, all further bytes are dropped, since they could otherwise be served to a client.
 */
final class MetaReplyDecoder extends ServerCodec.ReplyDecoder {
  /** The part of the stream that is expected next. */
  private enum State {
    LINE,
    /** The value of the reply {@link #head}, which is passed on when the value is complete. */
    VALUE,
    /** A value for which there is no memory: its bytes are dropped. */
    DISCARDED_VALUE,
    /** The CRLF of the complete value {@link #value}. */
    VALUE_END,
    /** Chunks of a streamed value, and its CRLF. */
    STREAM,
    /** A malformed reply was read: all further bytes are dropped. */
    CORRUPTED
  }

  private State state = State.LINE;

  /** The reply whose value is being read, without the value. */
  private ServerReply head;

  /** The received part of a value that did not arrive at once, owned until it is passed on. */
  private ByteBuf value;

  private final MemoryBudget budget;

  /** The bytes that are reserved for {@link #value}. */
  private int reservedBytes;

  /** Length of the value, or its remaining bytes while streaming; -1 if the reply has no value. */
  private int valueBytes;

  /** Creates a decoder; the budget limits the values that are received at a time. */
  MetaReplyDecoder(MemoryBudget budget) {
    this.budget = budget;
  }

  @Override
  public boolean isMidReply() {
    return state == State.VALUE
        || state == State.DISCARDED_VALUE
        || state == State.VALUE_END
        || state == State.STREAM
        || actualReadableBytes() > 0;
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    try {
      switch (state) {
        case LINE -> decodeLine(ctx.alloc(), in, out);
        case VALUE -> decodeValue(in, out);
        case DISCARDED_VALUE -> discardValue(in, out);
        case VALUE_END -> decodeValueEnd(in, out);
        case STREAM -> decodeChunk(in, out);
        case CORRUPTED -> in.skipBytes(in.readableBytes());
      }
    } catch (MetaLine.MalformedException e) {
      state = State.CORRUPTED;
      releaseValue();
      in.skipBytes(in.readableBytes());
      throw new DecoderException(e);
    }
  }

  private void decodeLine(ByteBufAllocator allocator, ByteBuf in, List<Object> out)
      throws MetaLine.MalformedException {
    MetaLine line = MetaLine.read(in);
    if (line == null) {
      return;
    }
    line.nextToken();
    if (line.tokenEquals(WireNames.HEALTHY)) {
      out.add(ServerCodec.NO_OP_REPLY);
      return;
    }
    ServerReply reply = parse(line);
    if (valueBytes < 0) {
      out.add(reply);
    } else if (in.readableBytes() >= valueBytes + MetaLine.CRLF_BYTES) {
      head = reply;
      value = in.readRetainedSlice(valueBytes);
      decodeValueEnd(in, out);
    } else if (valueBytes > MetaLine.MAX_BUFFERED_VALUE_BYTES) {
      state = State.STREAM;
      out.add(new LargeReply(reply, valueBytes));
    } else {
      head = reply;
      state = reserveValue() ? State.VALUE : State.DISCARDED_VALUE;
      value =
          state == State.VALUE
              ? allocator.buffer(valueBytes, valueBytes)
              : ServerReply.DISCARDED_VALUE;
    }
  }

  /** Reserves memory for a value; returns false if the value must be discarded. */
  private boolean reserveValue() {
    if (!budget.reserveBriefly(valueBytes)) {
      return false;
    }
    reservedBytes = valueBytes;
    return true;
  }

  private void discardValue(ByteBuf in, List<Object> out) throws MetaLine.MalformedException {
    int bytes = Math.min(in.readableBytes(), valueBytes);
    in.skipBytes(bytes);
    valueBytes -= bytes;
    if (valueBytes == 0) {
      state = State.VALUE_END;
      decodeValueEnd(in, out);
    }
  }

  private void decodeValue(ByteBuf in, List<Object> out) throws MetaLine.MalformedException {
    value.writeBytes(in, Math.min(in.readableBytes(), value.writableBytes()));
    if (!value.isWritable()) {
      state = State.VALUE_END;
      decodeValueEnd(in, out);
    }
  }

  private void decodeValueEnd(ByteBuf in, List<Object> out) throws MetaLine.MalformedException {
    if (in.readableBytes() < MetaLine.CRLF_BYTES) {
      return;
    }
    MetaLine.readCrlf(in);
    releaseReservation();
    // The next handler owns the value.
    out.add(
        new ServerReply(head.result(), head.id(), null, value, head.cacheStatus(), head.load()));
    head = null;
    value = null;
    state = State.LINE;
  }

  private void releaseReservation() {
    budget.release(reservedBytes);
    reservedBytes = 0;
  }

  private void releaseValue() {
    releaseReservation();
    if (value != null) {
      value.release();
      value = null;
    }
  }

  @Override
  protected void handlerRemoved0(ChannelHandlerContext ctx) {
    releaseValue();
  }

  /** Passes on the received bytes of a streamed value, or its end. */
  private void decodeChunk(ByteBuf in, List<Object> out) throws MetaLine.MalformedException {
    if (valueBytes > 0) {
      int bytes = Math.min(valueBytes, in.readableBytes());
      valueBytes -= bytes;
      // The next handler owns the slice.
      out.add(in.readRetainedSlice(bytes));
    } else if (in.readableBytes() >= MetaLine.CRLF_BYTES) {
      MetaLine.readCrlf(in);
      state = State.LINE;
      out.add(LargeReply.END);
    }
  }

  /** Parses a line from its first token on, and sets {@link #valueBytes}. */
  private ServerReply parse(MetaLine line) throws MetaLine.MalformedException {
    Outcome.Result result = Outcome.Result.OK;
    valueBytes = -1;
    if (line.tokenEquals(WireNames.VALUE)) {
      valueBytes = line.readValueLength();
    } else if (line.tokenEquals(WireNames.SERVER_ERROR)) {
      result = parseError(line);
    } else if (!line.tokenEquals(WireNames.STORED)) {
      throw new MetaLine.MalformedException("unknown reply");
    }
    ServerReply reply = parseFlags(line, result);
    if (result == Outcome.Result.OK) {
      checkComplete(reply);
    }
    return reply;
  }

  private static Outcome.Result parseError(MetaLine line) throws MetaLine.MalformedException {
    if (!line.nextToken()) {
      throw new MetaLine.MalformedException("SERVER_ERROR without an error code");
    }
    return line.tokenEquals(WireNames.BUSY) ? Outcome.Result.SERVER_BUSY : Outcome.Result.ERROR;
  }

  private static ServerReply parseFlags(MetaLine line, Outcome.Result result) {
    String id = null;
    String receipt = null;
    Outcome.CacheStatus cacheStatus = Outcome.CacheStatus.NONE;
    LoadReport load = null;
    while (line.nextToken()) {
      switch (line.flag()) {
        case WireNames.REQUEST_ID -> id = line.tokenFrom(1);
        case WireNames.RECEIPT -> receipt = line.tokenFrom(1);
        case WireNames.CACHE_LOOKUP ->
            cacheStatus =
                line.tokenEquals(WireNames.CACHE_HIT)
                    ? Outcome.CacheStatus.HIT
                    : Outcome.CacheStatus.MISS;
        case WireNames.FETCH_PENDING -> cacheStatus = Outcome.CacheStatus.MISS_PENDING;
        case WireNames.LOAD_REPORT -> load = LoadReportParser.parse(line.tokenFrom(1));
        default -> {
          // This node does not use other flags.
        }
      }
    }
    return new ServerReply(result, id, receipt, null, cacheStatus, load);
  }

  private void checkComplete(ServerReply reply) throws MetaLine.MalformedException {
    if (reply.id() == null) {
      throw new MetaLine.MalformedException("reply without a request id");
    }
    if (valueBytes < 0 && (reply.receipt() == null || reply.receipt().isEmpty())) {
      throw new MetaLine.MalformedException(
          "HD reply without the token that confirms the write (flag c)");
    }
  }
}
