package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.loop.LoopClock;

/**
 * The first handler of a client's connection: decides how much is read from it, and knows the
 * earliest time at which the bytes that it delivers can have arrived.
 *
 * <p>While commands are not taken, up to {@value #MAX_BUFFERED_BYTES} bytes are read all the same
 * and buffered undecoded, for two reasons. A socket that is not read shows no disconnect, so that
 * the node would go on working for a client that has left. And a request's time counts from when
 * its client sends it: the buffered deadlines tell by when to deliver. A memory budget bounds all
 * buffers together; a single read may exceed either limit. The rest waits in the socket.
 *
 * <p>All of it runs on the connection's event loop. It owns what it has read until it passes it on.
 */
final class InboundBuffer extends ChannelDuplexHandler {
  /** Reading from a connection stops while at least this many of its bytes are buffered. */
  static final int MAX_BUFFERED_BYTES = 16 << 10;

  /** Buffered bytes delivered before the mode is checked again: some tens of commands. */
  private static final int MAX_DELIVERY_BYTES = 4 << 10;

  /** Netty's maximum of reads per event: after as many, the socket may still hold bytes. */
  private static final int MAX_READS_PER_TURN = 16;

  /** Bytes that arrived less than this after a segment's first are appended to that segment. */
  private static final long MERGE_NANOS = 5_000_000;

  /** Whether bytes are read from the socket, and whether they are passed on. */
  enum Mode {
    /** It is read and delivered. */
    DELIVER,
    /** It is read and buffered. */
    BUFFER,
    /** It is not read. What was buffered before is delivered. */
    SUSPEND
  }

  /** Is notified of the time by which the buffered commands have to be delivered. */
  @FunctionalInterface
  interface DeadlineListener {
    /** The earliest deadline among the buffered commands, by the loop's clock. */
    void deadlineFound(long deadlineNanos);
  }

  /** Bytes, and the earliest time at which any of them can have arrived. */
  private static final class Segment {
    private ByteBuf bytes;
    private final long arrivalNanos;

    Segment(ByteBuf bytes, long arrivalNanos) {
      this.bytes = bytes;
      this.arrivalNanos = arrivalNanos;
    }

    void append(ByteBufAllocator allocator, ByteBuf more) {
      bytes = ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(allocator, bytes, more);
    }
  }

  private final MemoryBudget budget;
  private final ArrivalTracker arrivals;
  private final ArrayDeque<Segment> segments = new ArrayDeque<>();
  private DeadlineScanner deadlines = new DeadlineScanner();
  private DeadlineListener listener = deadlineNanos -> {};
  private ChannelHandlerContext ctx;
  private Mode mode = Mode.DELIVER;
  private int bufferedBytes;
  private int reservedBytes;

  /** Whether the budget did not cover all that is buffered. */
  private boolean exceedsBudget;

  private boolean isDelivering;

  /** See {@link #arrivalNanos()}. */
  private long arrivalNanos;

  private int readsInTurn;

  private boolean hasDeadline;
  private long deadlineNanos;

  /**
   * Nothing has been read.
   *
   * @param budget over all connections
   * @param connectedSinceNanos since when the client may have sent something
   */
  InboundBuffer(MemoryBudget budget, LoopClock clock, long connectedSinceNanos) {
    this.budget = budget;
    this.arrivals = new ArrivalTracker(clock, connectedSinceNanos);
  }

  void setListener(DeadlineListener listener) {
    this.listener = listener;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    this.ctx = ctx;
    arrivals.setPolled(true);
  }

  /** Whether something is buffered. */
  boolean hasBytes() {
    return !segments.isEmpty();
  }

  /** Whether a limit of the buffer is reached, so that more bytes may be unread in the socket. */
  boolean isFull() {
    return hasBytes() && (bufferedBytes >= MAX_BUFFERED_BYTES || exceedsBudget);
  }

  /** The earliest time at which the bytes that are being delivered can have arrived. */
  long arrivalNanos() {
    return arrivalNanos;
  }

  /**
   * Changes the mode. If it now permits, buffered bytes are delivered in a task of the event loop,
   * not within this call.
   */
  void setMode(Mode next) {
    if (next == mode) {
      return;
    }
    mode = next;
    updateReading();
    if (hasBytes() && mode != Mode.BUFFER) {
      ctx.executor().execute(this::deliverBuffered);
    }
  }

  private void updateReading() {
    Channel channel = ctx.channel();
    boolean reads = mode != Mode.SUSPEND && !isFull();
    arrivals.setPolled(reads);
    channel.config().setAutoRead(reads);
  }

  /** Prevents a decoder with an incomplete command from reading on by itself. */
  @Override
  public void read(ChannelHandlerContext ctx) {
    if (mode != Mode.SUSPEND) {
      ctx.read();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    readsInTurn++;
    long readArrivalNanos = arrivals.bytesRead();
    if (!hasBytes() && mode != Mode.BUFFER) {
      arrivalNanos = readArrivalNanos;
      ctx.fireChannelRead(bytes);
      return;
    }
    buffer(ctx, bytes, readArrivalNanos);
    updateReading();
  }

  private void buffer(ChannelHandlerContext ctx, ByteBuf bytes, long bytesArrivalNanos) {
    int more = bytes.readableBytes();
    if (budget.reserve(more)) {
      reservedBytes += more;
    } else {
      exceedsBudget = true;
    }
    bufferedBytes += more;
    scan(bytes, bytesArrivalNanos);
    Segment last = segments.peekLast();
    if (last != null && bytesArrivalNanos - last.arrivalNanos < MERGE_NANOS) {
      last.append(ctx.alloc(), bytes);
    } else {
      segments.add(new Segment(bytes, bytesArrivalNanos));
    }
    if (hasDeadline) {
      listener.deadlineFound(deadlineNanos);
    }
  }

  private void scan(ByteBuf bytes, long bytesArrivalNanos) {
    deadlines.scan(
        bytes, millis -> addDeadline(bytesArrivalNanos + TimeUnit.MILLISECONDS.toNanos(millis)));
  }

  /** Notifies the listener of the earliest deadline among what is buffered, if there is one. */
  void reportDeadline() {
    hasDeadline = false;
    deadlines = new DeadlineScanner();
    segments.forEach(segment -> scan(segment.bytes, segment.arrivalNanos));
    if (hasDeadline) {
      listener.deadlineFound(deadlineNanos);
    }
  }

  private void addDeadline(long nanos) {
    if (!hasDeadline || nanos - deadlineNanos < 0) {
      hasDeadline = true;
      deadlineNanos = nanos;
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    boolean reads = ctx.channel().config().isAutoRead();
    arrivals.readComplete(reads && readsInTurn < MAX_READS_PER_TURN);
    readsInTurn = 0;
    if (!hasBytes()) {
      ctx.fireChannelReadComplete();
    }
  }

  /** Delivers what was buffered, until the mode forbids it. */
  private void deliverBuffered() {
    if (isDelivering || !hasBytes()) {
      return;
    }
    isDelivering = true;
    try {
      while (hasBytes() && mode != Mode.BUFFER) {
        Segment first = segments.peek();
        arrivalNanos = first.arrivalNanos;
        ctx.fireChannelRead(takeDelivery(first));
      }
    } finally {
      isDelivering = false;
    }
    ctx.fireChannelReadComplete();
    if (ctx.channel().isActive()) {
      updateReading();
    }
  }

  /** The next bytes to deliver, which belong to the next handler. */
  private ByteBuf takeDelivery(Segment first) {
    if (first.bytes.readableBytes() > MAX_DELIVERY_BYTES) {
      bufferedBytes -= MAX_DELIVERY_BYTES;
      return first.bytes.readRetainedSlice(MAX_DELIVERY_BYTES);
    }
    bufferedBytes -= first.bytes.readableBytes();
    segments.poll();
    if (segments.isEmpty()) {
      reset();
    }
    return first.bytes;
  }

  /** Clears the accounting once the last segment is gone. */
  private void reset() {
    exceedsBudget = false;
    budget.release(reservedBytes);
    reservedBytes = 0;
    bufferedBytes = 0;
    hasDeadline = false;
    deadlines = new DeadlineScanner();
  }

  private void releaseAll() {
    if (hasBytes()) {
      segments.forEach(segment -> segment.bytes.release());
      segments.clear();
      reset();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    releaseAll();
    ctx.fireChannelInactive();
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext ctx) {
    releaseAll();
  }
}
