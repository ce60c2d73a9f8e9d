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
 * Decodes the commands on one client's connection. Answers requests of unknown classes with an
 * error, so that they are not forwarded to a cache server.
 */
final class MetaCommandDecoder extends ClientCodec.CommandDecoder {
  /** The part of the stream that is expected next. */
  private enum State {
    LINE,
    /** The value of {@link #pendingWrite} and its CRLF. */
    VALUE,
    /** The start of the next command is not known: all further bytes are dropped. */
    DESYNCHRONIZED
  }

  private final MemoryBudget budget;
  private final RequestAdmission admission;
  private final MetaLinePeek peek;
  private final MetaRequestParser parser;
  private State state = State.LINE;

  /** The write whose value is being read, owned by the decoder until it is passed on; or null. */
  private ClientCommand pendingWrite;

  /** The payload of the pending write, which receives the value; null if the value is dropped. */
  private MetaPayload pendingPayload;

  /** The remaining bytes of the value, including its CRLF. */
  private int missingBytes;

  /** Whether the next line was already admitted, so that it is not counted twice. */
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
      // Netty treats a message that was decoded without reading a byte as a bug of the decoder.
      in.skipBytes(in.readableBytes());
      String line = WireNames.CLIENT_ERROR + " " + e.getMessage();
      out.add(ClientCommand.answer(MetaReplies.encodeLine(ctx.alloc(), line), true, true));
    }
  }

  private void decodeLine(ByteBufAllocator allocator, ByteBuf in, List<Object> out)
      throws MetaLine.MalformedException {
    if (!isAdmitted && admission.mayReject()) {
      ClientCommand rejectedRequests = reject(allocator, in);
      if (rejectedRequests != null) {
        out.add(rejectedRequests);
      }
      if (rejectedRequests != null || state == State.VALUE) {
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
   * Consumes lines as long as admission rejects the requests on them. Stops at the first other
   * line, and sets {@link #isAdmitted} if that line is an admitted request. Also stops after a
   * rejected write, and sets {@link State#VALUE}: the value is read and dropped before the write is
   * answered.
   *
   * @return the answers to rejected reads in one buffer, null if there are none
   */
  private ClientCommand reject(ByteBufAllocator allocator, ByteBuf in) {
    ByteBuf answers = null;
    Rejections rejections = Rejections.NONE;
    while (state == State.LINE) {
      int start = in.readerIndex();
      int newlineOffset =
          in.bytesBefore(Math.min(in.readableBytes(), MetaLine.MAX_LINE_BYTES), (byte) '\n');
      if (newlineOffset < 1
          || in.getByte(start + newlineOffset - 1) != '\r'
          || !peek.read(in, start, start + newlineOffset - 1)) {
        break;
      }
      long admissionResult =
          admission.admit(
              peek.serviceClassIndex(), peek.tenantIndex(), peek.keyHash(), peek.isRetry());
      if (admissionResult == RequestAdmission.ADMITTED) {
        isAdmitted = true;
        break;
      }
      long retryAfterMillis = admissionResult & ~RequestAdmission.RETRY_FLAG;
      int retries = admissionResult == retryAfterMillis ? 0 : 1;
      in.skipBytes(newlineOffset + 1);
      if (peek.isWrite()) {
        ByteBuf answer = allocator.buffer(MetaReplies.BUSY_LINE_BYTES);
        expectValue(
            ClientCommand.rejected(
                MetaReplies.appendBusy(answer, retryAfterMillis),
                new Rejections(1, retries, retryAfterMillis)),
            null,
            peek.valueBytes());
      } else {
        answers = answers == null ? allocator.buffer(MetaReplies.BUSY_LINE_BYTES) : answers;
        MetaReplies.appendBusy(answers, retryAfterMillis);
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
      MetaLine.readCrlf(in);
      if (pendingPayload != null) {
        pendingPayload.endValue();
      }
      out.add(pendingWrite);
      pendingWrite = null;
      pendingPayload = null;
      state = State.LINE;
    }
  }

  /** Parses the command on a line. A write must not be passed on before its value is read. */
  private ClientCommand parse(ByteBufAllocator allocator, MetaLine line)
      throws MetaLine.MalformedException {
    line.nextToken();
    if (line.tokenEquals(WireNames.HEALTH_CHECK)) {
      return ClientCommand.answer(
          MetaReplies.encodeLine(allocator, WireNames.HEALTHY), false, false);
    }
    boolean isWrite = line.tokenEquals(WireNames.WRITE);
    if (!isWrite && !line.tokenEquals(WireNames.READ)) {
      return createError(allocator, WireNames.UNKNOWN_COMMAND);
    }
    parser.parseKey(line);
    // The length is needed even if the rest of the line is malformed: the next command starts
    // after the value.
    int valueBytes = isWrite ? line.readValueLength() : 0;
    parser.parseFlags(line);
    ClientCommand command = createCommand(allocator, line, isWrite);
    return isWrite ? beginWrite(allocator, command, valueBytes) : command;
  }

  private ClientCommand createCommand(ByteBufAllocator allocator, MetaLine line, boolean isWrite) {
    if (parser.error() != null) {
      return createError(allocator, WireNames.CLIENT_ERROR + " " + parser.error());
    }
    if (!isAdmitted) {
      // No request is rejected now: this call only counts the request.
      admission.admit(parser.serviceClassIndex(), parser.tenantIndex(), 0, parser.isRetry());
    }
    return ClientCommand.of(parser.createRequest(isWrite), parser.createPayload(line, budget));
  }

  /** Reserves memory for the value of a write; rejects the write if the budget is used up. */
  private ClientCommand beginWrite(
      ByteBufAllocator allocator, ClientCommand command, int valueBytes) {
    ClientCommand write = command;
    MetaPayload payload = null;
    if (command.payload() instanceof MetaPayload metaPayload) {
      payload = metaPayload.reserveValue(allocator, valueBytes) ? metaPayload : null;
    }
    if (command.request() != null && payload == null) {
      admission.rejectedAfterAdmission(command.request().serviceClass());
      command.release();
      ByteBuf answer = allocator.buffer(MetaReplies.BUSY_LINE_BYTES);
      write = ClientCommand.rejected(MetaReplies.appendBusy(answer, 0), new Rejections(1, 0, 0));
    }
    expectValue(write, payload, valueBytes);
    return write;
  }

  private static ClientCommand createError(ByteBufAllocator allocator, String line) {
    return ClientCommand.answer(MetaReplies.encodeLine(allocator, line), true, false);
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
