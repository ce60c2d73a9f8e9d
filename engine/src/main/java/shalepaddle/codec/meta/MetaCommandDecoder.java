package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import java.util.List;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.front.ClientCodec;
import shalepaddle.front.ClientCommand;
import shalepaddle.front.ClientCommand.Rejections;
import shalepaddle.front.RequestAdmission;

/**
 * Decodes the commands on one client's connection. Requests of unknown classes are answered here,
 * so that no cache server has to reject them.
 */
final class MetaCommandDecoder extends ClientCodec.CommandDecoder {
  /** What comes next. */
  private enum State {
    LINE,
    /** The value of {@link #pendingWrite} and its CRLF. */
    VALUE,
    /** It is not known where the next command begins: all further bytes are dropped. */
    DESYNCHRONIZED
  }

  private final MemoryBudget budget;
  private final RequestAdmission admission;
  private final MetaLinePeek peek;
  private final MetaRequestParser parser;
  private State state = State.LINE;

  /** The write whose value is being read; owned here until it is passed on. Null otherwise. */
  private ClientCommand pendingWrite;

  /** Receives that value, owned by the pending write; null where the value is dropped. */
  private MetaPayload pendingPayload;

  /** Bytes of the value, with its CRLF, that are still to come. */
  private int missingBytes;

  /** Whether the next line was admitted already, so that it is not counted twice. */
  private boolean isAdmitted;

  MetaCommandDecoder(MemoryBudget budget, RequestNames names, RequestAdmission admission) {
    this.budget = budget;
    this.admission = admission;
    this.peek = new MetaLinePeek(names);
    this.parser = new MetaRequestParser(names);
  }

  @Override
  public boolean isMidCommand() {
    return state == State.VALUE || actualReadableBytes() > 0;
  }

  @Override
  public boolean isReadingValue() {
    return state == State.VALUE;
  }

  @Override
  public boolean isDesynchronized() {
    return state == State.DESYNCHRONIZED;
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    try {
      switch (state) {
        case LINE -> decodeLine(ctx.alloc(), in, out);
        case VALUE -> decodeValue(in, out);
        case DESYNCHRONIZED -> in.skipBytes(in.readableBytes());
      }
    } catch (MetaLine.MalformedException e) {
      releaseWrite();
      state = State.DESYNCHRONIZED;
      // A message without a byte read would be a decoder's fault to Netty.
      in.skipBytes(in.readableBytes());
      String line = WireNames.CLIENT_ERROR + " " + e.getMessage();
      out.add(ClientCommand.answer(MetaReplies.line(ctx.alloc(), line), true, true));
    }
  }

  private void decodeLine(ByteBufAllocator allocator, ByteBuf in, List<Object> out)
      throws MetaLine.MalformedException {
    if (!isAdmitted && admission.mayReject()) {
      ClientCommand rejected = reject(allocator, in);
      if (rejected != null) {
        out.add(rejected);
      }
      if (rejected != null || state == State.VALUE) {
        return;
      }
    }
    MetaLine line = MetaLine.read(in);
    if (line != null) {
      ClientCommand command = parse(allocator, line);
      isAdmitted = false;
      if (state != State.VALUE) {
        out.add(command);
      }
    }
  }

  /**
   * Consumes lines as long as they are requests that are rejected. Stops at the first that is not,
   * setting {@link #isAdmitted} if it was admitted, and after a rejected write, setting {@link
   * State#VALUE}: its value is read and dropped before it is answered.
   *
   * @return the answers to rejected reads, all in one buffer; null if there are none
   */
  private ClientCommand reject(ByteBufAllocator allocator, ByteBuf in) {
    ByteBuf answers = null;
    Rejections rejections = Rejections.NONE;
    while (state == State.LINE) {
      int start = in.readerIndex();
      int newline =
          in.bytesBefore(Math.min(in.readableBytes(), MetaLine.MAX_LINE_BYTES), (byte) '\n');
      if (newline < 1
          || in.getByte(start + newline - 1) != '\r'
          || !peek.read(in, start, start + newline - 1)) {
        break;
      }
      long verdict =
          admission.admit(
              peek.serviceClassIndex(), peek.tenantIndex(), peek.keyHash(), peek.isRetry());
      if (verdict == RequestAdmission.ADMITTED) {
        isAdmitted = true;
        break;
      }
      long retryAfterMillis = verdict & ~RequestAdmission.RETRY;
      int retries = verdict == retryAfterMillis ? 0 : 1;
      in.skipBytes(newline + 1);
      if (peek.isWrite()) {
        ByteBuf answer = allocator.buffer(MetaReplies.BUSY_LINE_BYTES);
        expectValue(
            ClientCommand.rejected(
                MetaReplies.busy(answer, retryAfterMillis),
                new Rejections(1, retries, retryAfterMillis)),
            null,
            peek.valueBytes());
      } else {
        answers = answers == null ? allocator.buffer(MetaReplies.BUSY_LINE_BYTES) : answers;
        MetaReplies.busy(answers, retryAfterMillis);
        rejections =
            new Rejections(
                rejections.count() + 1, rejections.retries() + retries, retryAfterMillis);
      }
    }
    return answers == null ? null : ClientCommand.rejected(answers, rejections);
  }

  private void expectValue(ClientCommand write, MetaPayload payload, int valueBytes) {
    state = State.VALUE;
    pendingWrite = write;
    pendingPayload = payload;
    missingBytes = valueBytes + MetaLine.CRLF_BYTES;
  }

  private void decodeValue(ByteBuf in, List<Object> out) throws MetaLine.MalformedException {
    int bytes = Math.min(in.readableBytes(), missingBytes - MetaLine.CRLF_BYTES);
    if (bytes > 0) {
      if (pendingPayload != null) {
        pendingPayload.appendValue(in, bytes);
      } else {
        in.skipBytes(bytes);
      }
      missingBytes -= bytes;
    }
    if (missingBytes == MetaLine.CRLF_BYTES && in.readableBytes() >= MetaLine.CRLF_BYTES) {
      MetaLine.readEnd(in);
      if (pendingPayload != null) {
        pendingPayload.endValue();
      }
      out.add(pendingWrite);
      pendingWrite = null;
      pendingPayload = null;
      state = State.LINE;
    }
  }

  /** The command on a line. A write is not to be passed on before its value has come. */
  private ClientCommand parse(ByteBufAllocator allocator, MetaLine line)
      throws MetaLine.MalformedException {
    line.next();
    if (line.is(WireNames.HEALTH_CHECK)) {
      return ClientCommand.answer(MetaReplies.line(allocator, WireNames.HEALTHY), false, false);
    }
    boolean isWrite = line.is(WireNames.WRITE);
    if (!isWrite && !line.is(WireNames.READ)) {
      return error(allocator, WireNames.UNKNOWN_COMMAND);
    }
    parser.parseKey(line);
    // Needed even if the rest is malformed: it tells where the next command begins.
    int valueBytes = isWrite ? line.readValueLength() : 0;
    parser.parseFlags(line);
    ClientCommand command = command(allocator, line, isWrite);
    return isWrite ? beginWrite(allocator, command, valueBytes) : command;
  }

  private ClientCommand command(ByteBufAllocator allocator, MetaLine line, boolean isWrite) {
    if (parser.error() != null) {
      return error(allocator, WireNames.CLIENT_ERROR + " " + parser.error());
    }
    if (!isAdmitted) {
      // No request is rejected now: this only counts it.
      admission.admit(parser.serviceClassIndex(), parser.tenantIndex(), 0, parser.isRetry());
    }
    return ClientCommand.of(parser.request(isWrite), parser.payload(line, budget));
  }

  /** Reserves memory for the value of a write, or rejects the write if there is none. */
  private ClientCommand beginWrite(
      ByteBufAllocator allocator, ClientCommand command, int valueBytes) {
    ClientCommand write = command;
    MetaPayload payload = null;
    if (command.payload() instanceof MetaPayload own) {
      payload = own.reserveValue(allocator, valueBytes) ? own : null;
    }
    if (command.request() != null && payload == null) {
      admission.rejectedAfterAdmission(command.request().serviceClass());
      command.release();
      ByteBuf answer = allocator.buffer(MetaReplies.BUSY_LINE_BYTES);
      write = ClientCommand.rejected(MetaReplies.busy(answer, 0), new Rejections(1, 0, 0));
    }
    expectValue(write, payload, valueBytes);
    return write;
  }

  private static ClientCommand error(ByteBufAllocator allocator, String line) {
    return ClientCommand.answer(MetaReplies.line(allocator, line), true, false);
  }

  private void releaseWrite() {
    if (pendingWrite != null) {
      pendingWrite.release();
      pendingWrite = null;
      pendingPayload = null;
    }
  }

  @Override
  protected void handlerRemoved0(ChannelHandlerContext ctx) {
    releaseWrite();
  }
}
