package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import shalepaddle.diagnostics.Event;
import shalepaddle.diagnostics.FlightRecorder;
import shalepaddle.engine.Call;
import shalepaddle.engine.Dispatcher;
import shalepaddle.loop.LoopClock;

/**
 * A client's connection: submits its commands to the engine, and knows when it may be closed.
 * {@link ResponseQueue} writes the responses, {@link ReadControl} suspends reading. All of it runs
 * on the event loop.
 */
final class ClientHandler extends ChannelInboundHandlerAdapter {
  private static final double NANOS_PER_SECOND = 1e9;

  /** How long a connection may stay unwritable because its client reads nothing, in active time. */
  private static final long MAX_WRITE_STALL_NANOS = 10_000_000_000L;

  /**
   * How long reading is suspended after the half-close: requests that the client sends before it
   * sees that must stay unread, see {@link #endIfNothingUnread}.
   */
  private static final long HALF_CLOSE_SUSPEND_MILLIS = 100;

  /** The stages of closing, in order; the last two are alternatives. */
  private enum State {
    OPEN,
    /** Reads nothing more; is half-closed once all requests that were read are answered. */
    STOPPED_READING,
    /** Takes no commands; closes once all that was written has gone out. */
    CLOSING,
    /** All is answered and the sending end is closed, so that the client closes its own. */
    HALF_CLOSED
  }

  private final Dispatcher dispatcher;
  private final FlightRecorder recorder;
  private final LoopClock clock;
  private final ClientConnections connections;
  private final ClientCodec codec;
  private final ClientCodec.CommandDecoder decoder;
  private final InboundBuffer inbound;
  private final ResponseQueue responses;
  private final ReadControl reads;

  /** Names this connection in the history of its requests. */
  private final String name;

  private Channel channel;
  private State state = State.OPEN;

  /** The status last reported to {@link ClientConnections}, null before the channel is active. */
  private ClientConnections.Status status;

  private boolean hasRequested;

  /** Whether, in the present MID_COMMAND status, unread bytes have prevented a close once. */
  private boolean hasSkippedClose;

  private long receivedAtActiveNanos;
  private long unwritableSinceActiveNanos;

  ClientHandler(
      Dispatcher dispatcher,
      ClientConnections connections,
      ClientCodec codec,
      InboundBuffer inbound,
      ClientCodec.CommandDecoder decoder,
      FairReadScheduler fairness) {
    this.dispatcher = dispatcher;
    this.recorder = dispatcher.recorder();
    this.clock = dispatcher.clock();
    this.connections = connections;
    this.codec = codec;
    this.decoder = decoder;
    this.inbound = inbound;
    this.name = connections.nextName();
    this.responses = new ResponseQueue(this, codec, dispatcher);
    this.reads = new ReadControl(responses, inbound, decoder, fairness, dispatcher, name);
  }

  String name() {
    return name;
  }

  /** Whether no more commands are taken and no more responses go out. */
  boolean isClosing() {
    return state == State.CLOSING || state == State.HALF_CLOSED;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    responses.setChannel(channel);
    reads.setChannel(channel);
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    updateStatus();
  }

  /** Takes a command, which this owns until its payload is submitted or its answer is given. */
  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ClientCommand command = (ClientCommand) message;
    if (isClosing()) {
      command.release();
      return;
    }
    responses.beginBatch();
    int requests = command.answer() == null ? 1 : command.rejections().count();
    hasRequested |= requests > 0;
    ResponseSlot slot = responses.add();
    updateStatus();
    ByteBuf answer = command.answer();
    boolean isError = command.isProtocolError();
    if (answer == null && !submit(command, slot)) {
      answer = codec.encodeDuplicateId(channel.alloc());
      isError = true;
    }
    if (answer != null) {
      answerAtOnce(slot, answer, isError, command.isDesynchronized());
    }
    if (requests > 0) {
      reads.requestsRead(requests, command.rejections());
    }
    if (reads.hasTooManyPending()) {
      reads.update();
    }
  }

  /** Submits a request; false if its id belongs to another that is open. */
  private boolean submit(ClientCommand command, ResponseSlot slot) {
    long arrivalNanos = inbound.arrivalNanos();
    slot.setRequest(
        command.request().id(),
        clock.now(),
        arrivalNanos,
        (long) (command.request().budgetSeconds() * NANOS_PER_SECOND));
    slot.setSubmission(
        dispatcher.submit(new Call(command.request(), command.payload(), slot), arrivalNanos));
    return slot.submission() != null;
  }

  private void answerAtOnce(
      ResponseSlot slot, ByteBuf answer, boolean isError, boolean isDesynchronized) {
    if (isError) {
      reads.clientError();
    }
    if (isDesynchronized || reads.hasTooManyErrors()) {
      slot.setClosesConnection();
    }
    slot.complete(answer);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    receivedAtActiveNanos = clock.activeNanos();
    responses.endBatch();
    updateStatus();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    unwritableSinceActiveNanos = clock.activeNanos();
    responses.writabilityChanged();
    reads.update();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (status != null) {
      connections.closed(this, status);
    }
    responses.disconnected();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      dispatcher.reportFailure("client connection", cause);
    }
    recorder.record(Event.CLOSE_FAILURE, name);
    ctx.close();
  }

  /** Suspends or resumes reading, by the reasons that hold now. */
  void updateReading() {
    reads.update();
  }

  /** Notifies {@link ClientConnections} if the status has changed. */
  void updateStatus() {
    ClientConnections.Status current = currentStatus();
    if (current != status && channel.isActive()) {
      ClientConnections.Status previous = status;
      status = current;
      hasSkippedClose = false;
      connections.statusChanged(this, previous, current);
    }
    halfCloseIfAllAnswered();
  }

  private ClientConnections.Status currentStatus() {
    if (state == State.HALF_CLOSED) {
      return ClientConnections.Status.HALF_CLOSED;
    }
    if (state == State.CLOSING) {
      return ClientConnections.Status.CLOSING;
    }
    if (!responses.isEmpty()) {
      return ClientConnections.Status.AWAITING_RESPONSE;
    }
    if (decoder.isMidCommand()) {
      return ClientConnections.Status.MID_COMMAND;
    }
    return hasRequested ? ClientConnections.Status.IDLE : ClientConnections.Status.UNUSED;
  }

  /** Closes the connection once all that was written has gone out. */
  void close(Event reason) {
    if (!isClosing()) {
      responses.checkAnswered();
      recorder.record(reason, name);
      state = State.CLOSING;
      whenFlushed(ChannelFutureListener.CLOSE);
    }
  }

  /** Does the step once all that was written has gone out: a plain close would drop it. */
  private void whenFlushed(ChannelFutureListener step) {
    updateStatus();
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(step);
  }

  /**
   * Ends a connection with no pending responses, unless the kernel has bytes of it that were not
   * read: those may be a request, and a close with unread bytes resets the connection. One that is
   * within a command is left open for that reason only once.
   *
   * <p>A request may still arrive between that look and the moment at which the client sees the
   * end. By the protocol the client then sends it again on another connection, if this node has not
   * read it; so nothing is read for {@value #HALF_CLOSE_SUSPEND_MILLIS} ms. What came is discarded
   * after that, since unread bytes would make the kernel reset the connection.
   *
   * @param isDescriptorNeeded whether to close at once, without waiting for the client to close
   * @return whether it ends
   */
  boolean endIfNothingUnread(Event reason, boolean isDescriptorNeeded) {
    if (isClosing()) {
      return false;
    }
    if (!hasSkippedClose && (inbound.hasBytes() || ClientListener.hasUnread(channel))) {
      hasSkippedClose = status == ClientConnections.Status.MID_COMMAND;
      return false;
    }
    if (isDescriptorNeeded) {
      close(reason);
    } else {
      halfClose(reason);
    }
    return true;
  }

  /**
   * Stops reading, and ends the connection once the requests that were read are answered. For
   * clients that always have a request in flight, so that their connections never become idle: the
   * last requests would be lost when the process ends. By the protocol a client sends again
   * elsewhere what this node has not read.
   */
  void lastCall() {
    if (!isClosing()) {
      state = State.STOPPED_READING;
      reads.stop();
      halfCloseIfAllAnswered();
    }
  }

  private void halfCloseIfAllAnswered() {
    if (state == State.STOPPED_READING && responses.isEmpty() && !inbound.hasBytes()) {
      halfClose(Event.CLOSE_DRAIN);
    }
  }

  /** Closes this node's end of the stream, so that the client closes its own. */
  private void halfClose(Event reason) {
    if (!(channel instanceof DuplexChannel duplex) || !channel.isActive()) {
      close(reason);
      return;
    }
    responses.checkAnswered();
    recorder.record(reason, name);
    state = State.HALF_CLOSED;
    reads.stop();
    whenFlushed(done -> duplex.shutdownOutput());
    channel.eventLoop().schedule(reads::discard, HALF_CLOSE_SUSPEND_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Whether a value is being received, and bytes of it came after the given active time. */
  boolean hasSentValueSince(long activeNanos) {
    return decoder.isReadingValue() && receivedAtActiveNanos - activeNanos > 0;
  }

  /** When bytes came last, in the event loop's active time. */
  long receivedAtActiveNanos() {
    return receivedAtActiveNanos;
  }

  /** Closes the connection at once; bytes that were not yet sent are dropped. */
  void abort(Event reason) {
    recorder.record(reason, name);
    channel.close();
  }

  /** Aborts the connection if it was unwritable for longer than the limit. */
  void abortIfWriteStalled() {
    if (!channel.isWritable()
        && clock.activeNanos() - unwritableSinceActiveNanos > MAX_WRITE_STALL_NANOS) {
      abort(Event.CLOSE_SLOW_READER);
    }
  }
}
