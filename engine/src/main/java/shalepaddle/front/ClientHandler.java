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
import shalepaddle.engine.ClientPresence;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.loop.LoopClock;

/**
 * A client's connection: submits its commands to the engine and closes the connection. {@link
 * ResponseQueue} writes the responses, {@link ReadControl} suspends reading. Called only on the
 * event loop.
 */
final class ClientHandler extends ChannelInboundHandlerAdapter {
  private static final double NANOS_PER_SECOND = 1e9;

  /** How long a client may take no bytes while some wait for it, in active time. */
  static final long MAX_WRITE_STALL_NANOS = 10_000_000_000L;

  /**
   * How long reading is suspended after the half-close. Requests that the client sends before it
   * notices the half-close must stay unread, see {@link #endIfNothingUnread}.
   */
  private static final long HALF_CLOSE_SUSPEND_MILLIS = 100;

  /** A client's close that was found after a longer time than this is reported as found late. */
  private static final long MAX_HIDDEN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** The stages of closing, in order; the last two are alternatives. */
  private enum State {
    OPEN,
    /** No more bytes are read; half-closed once all requests that were read are answered. */
    STOPPED_READING,
    /** No more commands are handled; closed once all written bytes are sent. */
    CLOSING,
    /** All requests are answered and output is shut down, so that the client closes its end. */
    HALF_CLOSED
  }

  private final Dispatcher dispatcher;
  private final FlightRecorder recorder;
  private final LoopClock clock;
  private final ClientConnections connections;
  private final ClientCodec codec;
  private final ClientCodec.CommandDecoder decoder;
  private final InboundBuffer inboundBuffer;
  private final ResponseQueue responses;
  private final ReadControl readControl;
  private final WriteProgress writeProgress;

  /** The connection's name in the history of its requests. */
  private final String name;

  private Channel channel;
  private State state = State.OPEN;

  /** The last status reported to {@link ClientConnections}, null before the channel is active. */
  private ClientConnections.Status status;

  private boolean hasSentRequest;

  /** Whether unread bytes have prevented a close in the present MID_COMMAND status. */
  private boolean hasSkippedClose;

  private long receivedAtActiveNanos;

  /** The bytes received before the present status. */
  private long receivedBytesBefore;

  /** Whether {@link #updateStatus} will be called once the kernel has accepted all bytes. */
  private boolean isFlushAwaited;

  ClientHandler(
      Dispatcher dispatcher,
      ClientConnections connections,
      ClientCodec codec,
      InboundBuffer inboundBuffer,
      ClientCodec.CommandDecoder decoder,
      FairReadScheduler fairReadScheduler,
      MemoryBudget responseBudget,
      MemoryBudget heldValueBudget) {
    this.dispatcher = dispatcher;
    this.recorder = dispatcher.recorder();
    this.clock = dispatcher.clock();
    this.connections = connections;
    this.codec = codec;
    this.decoder = decoder;
    this.inboundBuffer = inboundBuffer;
    this.name = connections.nextName();
    this.writeProgress = new WriteProgress(clock::activeNanos, connections.sendQueues());
    this.responses =
        new ResponseQueue(
            this,
            codec,
            dispatcher,
            writeProgress,
            new ResponseMemory(responseBudget),
            heldValueBudget);
    this.readControl =
        new ReadControl(responses, inboundBuffer, decoder, fairReadScheduler, dispatcher, name);
  }

  String name() {
    return name;
  }

  /** Whether no more commands are handled and no more responses are written. */
  boolean isClosing() {
    return state == State.CLOSING || state == State.HALF_CLOSED;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    writeProgress.setChannel(channel);
    responses.setChannel(channel);
    readControl.setChannel(channel);
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    updateStatus();
  }

  /** Handles a command and owns it until its payload is submitted or its answer is queued. */
  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ClientCommand command = (ClientCommand) message;
    if (isClosing()) {
      command.release();
      return;
    }
    responses.beginBatch();
    int requests = command.answer() == null ? 1 : command.rejections().count();
    hasSentRequest |= requests > 0;
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
      readControl.onRequestsRead(requests, command.rejections());
    }
    readControl.onCommandRead();
  }

  /** Submits a request. Returns false if its id is in use by another open request. */
  private boolean submit(ClientCommand command, ResponseSlot slot) {
    long arrivalNanos = inboundBuffer.arrivalNanos();
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
      readControl.onClientError();
    }
    if (isDesynchronized || readControl.hasTooManyErrors()) {
      slot.setClosesConnection();
    }
    slot.complete(answer);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    receivedAtActiveNanos = clock.activeNanos();
    responses.endBatch();
    updateStatus();
    connections.drain().commandsRead(this);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    responses.writabilityChanged();
    readControl.update();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (status != null) {
      connections.connectionClosed(this, status);
    }
    if (!responses.isEmpty()) {
      reportDisconnect();
    }
    responses.discardAll();
  }

  /** Records how long the close of a client that awaits answers may have been hidden. */
  private void reportDisconnect() {
    long hiddenNanos = clock.now() - inboundBuffer.closeDetection().openAtNanos();
    if (hiddenNanos <= MAX_HIDDEN_NANOS) {
      recorder.record(Event.CLIENT_CLOSE_FOUND, name);
      return;
    }
    recorder.record(Event.CLIENT_CLOSE_FOUND_LATE, name);
    dispatcher.log(
        () ->
            "event=client_close_found_late connection="
                + name
                + " hidden_ms="
                + TimeUnit.NANOSECONDS.toMillis(hiddenNanos)
                + " open_requests="
                + responses.size()
                + " history=["
                + recorder.history(null, name)
                + "]");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      dispatcher.reportFailure("client connection", cause);
    }
    recorder.record(Event.CLOSE_FAILURE, name);
    ctx.close();
  }

  /** Suspends or resumes reading by the present state, see {@link ReadControl#update}. */
  void updateReading() {
    readControl.update();
  }

  /** Notifies {@link ClientConnections} if the status has changed. */
  void updateStatus() {
    ClientConnections.Status newStatus = currentStatus();
    if (newStatus != status && channel.isActive()) {
      ClientConnections.Status previousStatus = status;
      status = newStatus;
      receivedBytesBefore = inboundBuffer.receivedBytes();
      hasSkippedClose = false;
      connections.statusChanged(this, previousStatus, newStatus);
    }
    if (writeProgress.hasUnsentBytes()) {
      updateStatusOnceSent();
    } else {
      writeProgress.allSent();
      responses.memory().updateUnsent();
    }
    halfCloseIfAllAnswered();
  }

  private void updateStatusOnceSent() {
    if (!isFlushAwaited && responses.isEmpty()) {
      isFlushAwaited = true;
      channel
          .writeAndFlush(Unpooled.EMPTY_BUFFER)
          .addListener(
              done -> {
                isFlushAwaited = false;
                channel.eventLoop().execute(this::updateStatus);
              });
    }
  }

  private ClientConnections.Status currentStatus() {
    if (state == State.HALF_CLOSED) {
      return ClientConnections.Status.HALF_CLOSED;
    }
    if (state == State.CLOSING) {
      return ClientConnections.Status.CLOSING;
    }
    if (!responses.isEmpty() || writeProgress.hasUnsentBytes()) {
      return ClientConnections.Status.AWAITING_RESPONSE;
    }
    if (decoder.isMidCommand()) {
      return ClientConnections.Status.MID_COMMAND;
    }
    return hasSentRequest ? ClientConnections.Status.IDLE : ClientConnections.Status.UNUSED;
  }

  /** Closes the connection once all written bytes are sent. */
  void close(Event reason) {
    if (!isClosing()) {
      responses.checkAnswered();
      recorder.record(reason, name);
      state = State.CLOSING;
      whenFlushed(ChannelFutureListener.CLOSE);
    }
  }

  /** Runs a step once all written bytes are sent: closing immediately would drop them. */
  private void whenFlushed(ChannelFutureListener step) {
    updateStatus();
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(step);
  }

  /**
   * Ends a connection without pending responses, unless the kernel has unread bytes of the
   * connection: the bytes may be a request, and a close with unread bytes resets the connection. A
   * connection within a command is left open for that reason only once.
   *
   * <p>A request may still arrive after that check and before the client notices the end of the
   * stream. By the protocol the client then sends the request again on another connection, provided
   * that this node has not read it. Reading is therefore suspended for {@value
   * #HALF_CLOSE_SUSPEND_MILLIS} ms. After that, received bytes are discarded, since unread bytes
   * would make the kernel reset the connection.
   *
   * @param isDescriptorNeeded whether to close immediately, without waiting for the client to close
   * @return whether the connection is ended
   */
  boolean endIfNothingUnread(Event reason, boolean isDescriptorNeeded) {
    if (isClosing()) {
      return false;
    }
    if (!hasSkippedClose && (inboundBuffer.hasBytes() || ClientListener.hasUnreadBytes(channel))) {
      hasSkippedClose = status == ClientConnections.Status.MID_COMMAND;
      return false;
    }
    if (isDescriptorNeeded && writeProgress.hasUntakenBytes()) {
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
   * Stops reading, and ends the connection once the requests that were read are answered. This is
   * needed for clients that always have a request in flight, so that their connections never become
   * idle: their last requests would be lost when the process ends. By the protocol a client sends
   * requests that this node has not read again to another node.
   */
  void drain() {
    if (state == State.OPEN) {
      state = State.STOPPED_READING;
      // Retries need to know that the client is still connected.
      readControl.watch();
      halfCloseIfAllAnswered();
    }
  }

  private void halfCloseIfAllAnswered() {
    if (state == State.STOPPED_READING
        && responses.isEmpty()
        && !writeProgress.hasUnsentBytes()
        && !inboundBuffer.hasBytes()) {
      halfClose(Event.CLOSE_DRAIN);
    }
  }

  /** Closes this node's end of the stream, so that the client closes its own end. */
  private void halfClose(Event reason) {
    if (!(channel instanceof DuplexChannel duplexChannel) || !channel.isActive()) {
      close(reason);
      return;
    }
    responses.checkAnswered();
    recorder.record(reason, name);
    state = State.HALF_CLOSED;
    readControl.stop();
    whenFlushed(done -> duplexChannel.shutdownOutput());
    channel
        .eventLoop()
        .schedule(readControl::discard, HALF_CLOSE_SUSPEND_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Whether the kernel has bytes of the client that are unread. */
  boolean hasUnreadBytes() {
    return ClientListener.hasUnreadBytes(channel);
  }

  /** Whether a part of a command was received. */
  boolean isMidCommand() {
    return decoder.isMidCommand();
  }

  /** Whether a part of a command was received, with bytes of it since the given active time. */
  boolean isSendingCommand(long activeNanos) {
    return isMidCommand() && receivedAtActiveNanos - activeNanos > 0;
  }

  /** Whether bytes of the client were not handled as commands yet, also such that are unread. */
  boolean hasUnhandledBytes() {
    return inboundBuffer.hasBytes()
        || decoder.isMidCommand()
        || ClientListener.hasUnreadBytes(channel);
  }

  /** Whether a value is being received, with bytes of it since the given active time. */
  boolean hasSentValueSince(long activeNanos) {
    return decoder.isReadingValue() && receivedAtActiveNanos - activeNanos > 0;
  }

  /** How many bytes were received in the present status. */
  long receivedBytesInStatus() {
    return inboundBuffer.receivedBytes() - receivedBytesBefore;
  }

  /** When bytes were last received, in the event loop's active time. */
  long receivedAtActiveNanos() {
    return receivedAtActiveNanos;
  }

  /** Closes the connection immediately; unsent bytes are dropped. */
  void abort(Event reason) {
    recorder.record(reason, name);
    channel.close();
  }

  /** What is known of the client, see {@link CloseDetection#presence}. */
  ClientPresence clientPresence(long now) {
    return channel.isActive()
        ? inboundBuffer.closeDetection().presence(now)
        : ClientPresence.UNKNOWN;
  }

  /** Whether bytes wait to be taken by the client, as far as known. */
  boolean hasUntakenBytes() {
    return writeProgress.hasUntakenBytes();
  }

  /** Whether the client has taken none of the bytes that wait for it for this time. */
  boolean isWriteStalled(long maxNanos) {
    responses.memory().updateUnsent();
    return writeProgress.isStalled(maxNanos);
  }
}
