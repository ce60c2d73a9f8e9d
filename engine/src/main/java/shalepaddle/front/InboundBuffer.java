package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import java.util.concurrent.TimeUnit;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.loop.LoopClock;

/**
 * The first handler of a client's connection. Limits how much is read from the connection, and
 * tracks the earliest time at which the bytes that it delivers can have arrived.
 *
 * <p>While the handling of commands is suspended, up to {@value #MAX_BUFFERED_BYTES} bytes are
 * still read and buffered undecoded, for two reasons. A socket that is not read does not report a
 * disconnect, so that the node would continue to work for a disconnected client. And the time
 * budget of a request starts when its client sends it: the buffered deadlines determine when
 * commands must be delivered. A memory budget limits all buffers together; a single read may exceed
 * either limit. Further bytes wait in the socket.
 *
 * <p>Called only on the connection's event loop. Owns the bytes that were read until they are
 * delivered.
 */
final class InboundBuffer extends ChannelDuplexHandler {
  /** Reading stops while at least this many bytes are buffered. */
  static final int MAX_BUFFERED_BYTES = 256 << 10;

  /** Maximum bytes delivered before the mode is checked again: some tens of commands. */
  private static final int MAX_DELIVERY_BYTES = 4 << 10;

  /** Maximum bytes delivered before other connections are polled again. */
  private static final int MAX_DELIVERY_BYTES_PER_TURN = 16 << 10;

  /** Netty's maximum number of reads per event; after these reads, bytes may still be unread. */
  private static final int MAX_READS_PER_TURN = 16;

  /** Whether bytes are read from the socket, and whether they are delivered. */
  enum Mode {
    /** Bytes are read and delivered. */
    DELIVER,
    /** Bytes are read and buffered. */
    BUFFER,
    /**
     * No bytes are read, but the client's close is, unless bytes are unread before it. Bytes that
     * were buffered before are delivered.
     */
    WATCH,
    /** Nothing is read; bytes that were buffered before are delivered. */
    SUSPEND
  }

  /** A listener for the content of the buffer. */
  interface Listener {
    /** Called with the earliest deadline among the buffered commands, by the loop's clock. */
    void deadlineFound(long deadlineNanos);

    /** Called when reading stops since a limit of the buffer is reached. */
    void bufferFilled();
  }

  private final ArrivalTracker arrivalTracker;
  private final CloseDetection closeDetection;
  private final InboundSegments segments;
  private Listener listener;
  private ChannelHandlerContext ctx;
  private Mode mode = Mode.DELIVER;
  private boolean isDelivering;

  /** Whether the delivery continues in the next turn. */
  private boolean isDeliveryScheduled;

  /** See {@link #arrivalNanos()}. */
  private long arrivalNanos;

  private int readsInTurn;
  private long receivedBytes;

  /**
   * Creates an empty buffer.
   *
   * @param budget the memory budget of all connections
   * @param connectedSinceNanos the earliest time at which the client can have sent bytes
   */
  InboundBuffer(MemoryBudget budget, LoopClock clock, long connectedSinceNanos) {
    this.segments = new InboundSegments(budget);
    this.arrivalTracker = new ArrivalTracker(clock, connectedSinceNanos);
    this.closeDetection = new CloseDetection(clock, connectedSinceNanos);
  }

  void setListener(Listener listener) {
    this.listener = listener;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    this.ctx = ctx;
    setPolled(true);
  }

  /** Whether any bytes are buffered. */
  boolean hasBytes() {
    return !segments.isEmpty();
  }

  /** What is known of the client's end of the connection. */
  CloseDetection closeDetection() {
    return closeDetection;
  }

  /** How many bytes were received on the connection. */
  long receivedBytes() {
    return receivedBytes;
  }

  /** Whether a limit of the buffer is reached, so that the socket may have unread bytes. */
  boolean isFull() {
    return segments.bufferedBytes() >= MAX_BUFFERED_BYTES || segments.exceedsBudget();
  }

  /** The earliest time at which the bytes that are being delivered can have arrived. */
  long arrivalNanos() {
    return arrivalNanos;
  }

  /**
   * Changes the mode. If the new mode permits it, buffered bytes are delivered by a task of the
   * event loop, not within this call.
   */
  void setMode(Mode newMode) {
    if (newMode == mode) {
      return;
    }
    mode = newMode;
    ClientListener.setWatched(ctx.channel(), mode == Mode.WATCH);
    updateReading();
    if (hasBytes() && mode != Mode.BUFFER) {
      ctx.executor().execute(this::deliverBuffered);
    }
  }

  private void updateReading() {
    Channel channel = ctx.channel();
    boolean isReading = mode != Mode.SUSPEND && !isFull();
    setPolled(isReading);
    channel.config().setAutoRead(isReading);
  }

  private void setPolled(boolean isPolled) {
    arrivalTracker.setPolled(isPolled);
    closeDetection.setPolled(isPolled);
  }

  /** Suppresses the reads that a decoder requests for an incomplete command while suspended. */
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
    receivedBytes += bytes.readableBytes();
    long readArrivalNanos = arrivalTracker.bytesRead();
    closeDetection.bytesRead(bytes.readableBytes(), readArrivalNanos);
    if (!hasBytes() && mode != Mode.BUFFER) {
      arrivalNanos = readArrivalNanos;
      ctx.fireChannelRead(bytes);
      return;
    }
    boolean wasFull = isFull();
    segments.add(ctx.alloc(), bytes, readArrivalNanos);
    reportDeadline();
    if (isFull() && !wasFull) {
      listener.bufferFilled();
    }
    updateReading();
  }

  /** Notifies the listener of the earliest deadline in the buffered bytes, if there is one. */
  void reportDeadline() {
    segments.earliestDeadlineNanos().ifPresent(listener::deadlineFound);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    boolean isReading = ctx.channel().config().isAutoRead();
    boolean isSocketEmpty = isReading && readsInTurn < MAX_READS_PER_TURN;
    arrivalTracker.readComplete(isSocketEmpty);
    closeDetection.readComplete(isSocketEmpty);
    readsInTurn = 0;
    if (mode == Mode.WATCH) {
      setPolled(isReading);
    }
    if (!hasBytes()) {
      ctx.fireChannelReadComplete();
    }
  }

  /** Delivers buffered bytes while the mode permits it. */
  private void deliverBuffered() {
    if (isDelivering || !hasBytes()) {
      return;
    }
    isDelivering = true;
    try {
      int deliveredBytes = 0;
      while (hasBytes() && mode != Mode.BUFFER && deliveredBytes < MAX_DELIVERY_BYTES_PER_TURN) {
        arrivalNanos = segments.firstArrivalNanos();
        ByteBuf bytes = segments.take(MAX_DELIVERY_BYTES);
        deliveredBytes += bytes.readableBytes();
        ctx.fireChannelRead(bytes);
      }
    } finally {
      isDelivering = false;
    }
    ctx.fireChannelReadComplete();
    if (ctx.channel().isActive()) {
      updateReading();
    }
    if (hasBytes() && mode != Mode.BUFFER && !isDeliveryScheduled) {
      isDeliveryScheduled = true;
      // A task that is passed to execute would run before the next poll.
      ctx.executor().schedule(this::continueDelivery, 1, TimeUnit.NANOSECONDS);
    }
  }

  private void continueDelivery() {
    isDeliveryScheduled = false;
    if (mode != Mode.BUFFER) {
      deliverBuffered();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    segments.clear();
    ctx.fireChannelInactive();
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext ctx) {
    segments.clear();
  }
}
