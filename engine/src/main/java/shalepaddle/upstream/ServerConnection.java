package shalepaddle.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import java.net.SocketAddress;
import shalepaddle.engine.Attempt;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.LargeReply;
import shalepaddle.engine.ServerClose;
import shalepaddle.engine.ServerReply;
import shalepaddle.loop.LoopClock;
import shalepaddle.model.Outcome;

/**
 * A connection to a cache server. Replies are sent in the order of the requests, so each is matched
 * with the oldest attempt in flight. Called only on the event loop.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter implements Attempt.Connection {
  /**
   * A server without capacity for a connection rejects the first request on it and closes it
   * immediately. If no close follows within this time, the server has rejected only the request.
   */
  private static final long REJECTED_CONNECTION_CLOSE_NANOS = 5_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Whether received bytes can be used. */
  private enum State {
    OPEN,
    /** A reply was malformed or matched no request: the connection ignores bytes and closes. */
    CORRUPTED,
    CLOSED
  }

  private final ServerPool pool;
  private final Dispatcher dispatcher;
  private final ServerCodec codec;
  private final ServerCodec.ReplyDecoder decoder;
  private final LoopClock clock;
  private final InFlightAttempts inFlightAttempts;
  private final InDoubtResolver inDoubtResolver;
  private final ReceiveActivity receiveActivity;
  private final DeliveryTracker deliveryTracker;
  private final long openedAtNanos;
  private Channel channel;
  private State state = State.OPEN;
  private ReplyPhase phase = ReplyPhase.AWAITING_REPLY;

  /** Whether no more requests are written, and the connection closes after the last reply. */
  private boolean isDraining;

  /** Whether bytes read in this turn are still being decoded. */
  private boolean isReadInProgress;

  /** Whether the kernel has not accepted all bytes of the last request; blocks further writes. */
  private boolean isWritePending;

  /** Whether the server has accepted the connection, shown by any reply except a rejection. */
  private boolean isAcceptedByServer;

  ServerConnection(
      ServerPool pool, ServerCodec codec, Dispatcher dispatcher, DeliveryTracker deliveryTracker) {
    this.pool = pool;
    this.deliveryTracker = deliveryTracker;
    this.codec = codec;
    decoder = codec.decoder();
    this.dispatcher = dispatcher;
    clock = dispatcher.clock();
    openedAtNanos = clock.refresh();
    inFlightAttempts = new InFlightAttempts(openedAtNanos);
    inDoubtResolver = new InDoubtResolver(inFlightAttempts, dispatcher, codec);
    receiveActivity = new ReceiveActivity(clock);
  }

  /** Starts to connect. The pool handles a failure or a time-out. */
  ChannelFuture open(Bootstrap bootstrap, SocketAddress address) {
    ChannelFuture future = bootstrap.clone().handler(this).connect(address);
    channel = future.channel();
    inDoubtResolver.setChannel(channel);
    deliveryTracker.setChannel(channel);
    return future;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    ctx.pipeline().addBefore(ctx.name(), null, decoder);
  }

  /** When the connection was created, by the loop's clock. */
  long openedAtNanos() {
    return openedAtNanos;
  }

  /** When bytes were last received, by the loop's clock. */
  long receivedAtNanos() {
    return receiveActivity.receivedAtNanos();
  }

  /** When a request was last written or a reply last completed, by the loop's clock. */
  long usedAtNanos() {
    return inFlightAttempts.changedAtNanos();
  }

  boolean isDraining() {
    return isDraining;
  }

  /**
   * The number of attempts without any reply; {@code Integer.MAX_VALUE} while no request may be
   * written. A request behind a large value would wait for the client that reads the value.
   */
  int load() {
    boolean isUnavailable =
        isDraining
            || state == State.CLOSED
            || isReadInProgress
            || isWritePending
            || phase != ReplyPhase.AWAITING_REPLY;
    return isUnavailable ? Integer.MAX_VALUE : inFlightAttempts.size();
  }

  /** Whether a request may be written, and no reply is awaited. */
  boolean isIdle() {
    return load() == 0 && !hasAwaitedAttemptInDoubt();
  }

  /** Whether the first request is in flight, so that the server may still reject the connection. */
  boolean isUnproven() {
    return !isAcceptedByServer && !inFlightAttempts.isEmpty();
  }

  /** Whether a rejection on this connection may be a copy of an earlier one. */
  boolean isRejectionAmbiguous() {
    return inFlightAttempts.isRejectionAmbiguous();
  }

  /** Whether the result of an attempt in doubt is still needed. */
  boolean hasAwaitedAttemptInDoubt() {
    return inFlightAttempts.isAnyInDoubtAwaited();
  }

  /** Writes an attempt, or has the dispatcher withdraw it if it must not be written any more. */
  void write(Attempt attempt) {
    long now = clock.refresh();
    if (attempt.isTooLateToWrite(now)
        || !dispatcher.guard().maySend(attempt, now, pool.isDrainingPastGrace(now))) {
      dispatcher.returnUnwritten(attempt);
      return;
    }
    if (!dispatcher.confirmClient(attempt)) {
      return;
    }
    attempt.assignTo(this);
    inFlightAttempts.add(attempt, now);
    long timeoutMillis = (attempt.deadlineNanos() - now + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
    ByteBuf request = codec.encode(channel.alloc(), attempt.call(), timeoutMillis);
    inDoubtResolver.writeInFrontOf(request);
    deliveryTracker.beginWrite(attempt, request.readableBytes(), now);
    ChannelFuture writeFuture = channel.writeAndFlush(request);
    if (!deliveryTracker.endWrite()) {
      dispatcher.returnUnwritten(attempt);
    } else if (!writeFuture.isDone()) {
      isWritePending = true;
      writeFuture.addListener(done -> pendingWriteDone(attempt, done.isSuccess()));
    } else if (writeFuture.isSuccess()) {
      dispatcher.attemptWritten(attempt);
    }
  }

  private void pendingWriteDone(Attempt attempt, boolean isSuccess) {
    isWritePending = false;
    if (isSuccess) {
      dispatcher.attemptWritten(attempt);
      pool.connectionAvailable(this);
    }
  }

  /**
   * Stops waiting for an attempt. Closing the connection cancels the attempt at the server, but
   * also breaks the other attempts in flight: if there are any, the reply is read and dropped
   * instead. No more requests are written, since the reply may never be received, and not one more
   * byte of an attempt that was written in part.
   */
  @Override
  public void abandon(Attempt attempt, boolean isOverdue) {
    boolean isPartlyWritten = !attempt.isWritten();
    inFlightAttempts.stopAwaiting(attempt);
    if (!isPartlyWritten) {
      deliveryTracker.dropAtClose(attempt);
    }
    drain();
    if (isPartlyWritten) {
      // Otherwise the rest of the request would be sent once the kernel accepts more bytes.
      endSending();
    } else {
      withdrawUndelivered(attempt);
    }
    if (isOverdue && receiveActivity.receivedAtNanos() - attempt.sentAtNanos() < 0) {
      pool.drainIfSilentSince(attempt.sentAtNanos());
    }
  }

  /**
   * Resets the connection if the attempt's last byte does not arrive soon: the kernel would send it
   * whenever the server reads again. Other attempts on the connection are retried or fail.
   */
  @Override
  public void withdrawUndelivered(Attempt attempt) {
    deliveryTracker.runIfNotDelivered(
        attempt,
        () -> {
          isDraining = true;
          deliveryTracker.dropAtClose(attempt);
          channel.close();
        });
  }

  /** Drops unsent bytes and ends the stream to the server; replies to earlier requests are read. */
  private void endSending() {
    if (channel instanceof DuplexChannel duplexChannel && inFlightAttempts.isAnyAwaited()) {
      duplexChannel.shutdownOutput();
    } else {
      channel.close();
    }
  }

  /** Handles a decoded message, and takes ownership of a buffer in it. */
  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    receiveActivity.markActive();
    isReadInProgress = true;
    if (message instanceof ByteBuf chunk) {
      chunkReceived(chunk);
    } else if (message == ServerCodec.NO_OP_REPLY) {
      noOpReplyReceived();
    } else if (message == LargeReply.END) {
      streamCompleted();
    } else if (message instanceof LargeReply largeReply) {
      streamStarted(largeReply);
    } else {
      ServerReply reply = (ServerReply) message;
      try {
        replyReceived(reply);
      } finally {
        if (reply.value() != null) {
          reply.value().release();
        }
      }
    }
  }

  private void noOpReplyReceived() {
    if (state != State.OPEN) {
      return;
    }
    isAcceptedByServer = true;
    inFlightAttempts.markChanged(clock.refresh());
    if (!inDoubtResolver.noOpReplyReceived()) {
      closeCorrupted("reply to a no-op does not follow the replies to the requests before it");
    } else if (isDraining || inDoubtResolver.isExhausted()) {
      drain();
    }
  }

  private void replyReceived(ServerReply reply) {
    Attempt oldestAttempt = match(reply, false);
    if (oldestAttempt == null) {
      return;
    }
    boolean isFirstRejected =
        reply.result() == Outcome.Result.SERVER_BUSY
            && !isAcceptedByServer
            && inFlightAttempts.size() == 1;
    isAcceptedByServer |= !isFirstRejected;
    if (isFirstRejected && !oldestAttempt.isEnded() && pool.hasOtherUsable(this)) {
      completeOldest();
      // The attempt has provably not run, whether the request or the connection was rejected.
      oldestAttempt.detach();
      phase = new ReplyPhase.FirstRequestRejected(oldestAttempt);
      dispatcher
          .timers()
          .runNoEarlierThan(REJECTED_CONNECTION_CLOSE_NANOS, () -> connectionStayedOpen(reply));
      return;
    }
    if (!oldestAttempt.isEnded()) {
      dispatcher.responseReceived(oldestAttempt, reply);
    }
    completeOldest();
  }

  /** Called if the server has not closed the connection, and so rejected only the request. */
  private void connectionStayedOpen(ServerReply reply) {
    if (phase instanceof ReplyPhase.FirstRequestRejected rejectedPhase) {
      phase = ReplyPhase.AWAITING_REPLY;
      isAcceptedByServer = true;
      dispatcher.responseReceived(rejectedPhase.attempt(), reply);
      pool.connectionAvailable(this);
    }
  }

  /** Returns the attempt that a reply answers; if there is none, handles the reply as unmatched. */
  private Attempt match(ServerReply reply, boolean isLarge) {
    if (state != State.OPEN) {
      return null;
    }
    InFlightAttempts.Match match = inFlightAttempts.match(reply, isLarge);
    inDoubtResolver.update();
    switch (match) {
      case OLDEST -> {
        reportIdlePeriod(false);
        return inFlightAttempts.oldestAttempt();
      }
      case HELD -> {
        reportIdlePeriod(false);
        heldReplyReceived(reply);
      }
      case DUPLICATE -> duplicateReceived();
      case NONE -> closeCorrupted("reply matches no request in flight");
    }
    return null;
  }

  private void heldReplyReceived(ServerReply reply) {
    inFlightAttempts.markChanged(clock.refresh());
    if (reply.id() == null) {
      Attempt attempt = inFlightAttempts.attemptOfLastHeld();
      if (dispatcher.unconfirmedReplyReceived(attempt, reply)) {
        inFlightAttempts.stopAwaiting(attempt);
      }
    }
    if (isDraining) {
      drain();
    }
  }

  /** Replaces the connection, unless an attempt in doubt on it waits for a request behind it. */
  private void duplicateReceived() {
    dispatcher.countDuplicateReply();
    if (!hasAwaitedAttemptInDoubt()) {
      drain();
    }
  }

  /** Called when the reply to the oldest attempt is complete. */
  private void completeOldest() {
    deliveryTracker.answered(inFlightAttempts.oldestAttempt());
    inFlightAttempts.completeOldest();
    inFlightAttempts.markChanged(clock.refresh());
    if (isDraining) {
      drain();
    }
  }

  private void streamStarted(LargeReply reply) {
    Attempt oldestAttempt = match(reply.head(), true);
    if (oldestAttempt != null) {
      phase = new StreamedReply(this, dispatcher, oldestAttempt, reply, pool.replyBudget());
    }
  }

  private void chunkReceived(ByteBuf chunk) {
    if (state == State.OPEN && phase instanceof StreamedReply stream) {
      stream.add(chunk);
    } else {
      chunk.release();
    }
  }

  private void streamCompleted() {
    if (state == State.OPEN && phase instanceof StreamedReply stream) {
      phase = ReplyPhase.AWAITING_REPLY;
      completeOldest();
      stream.complete();
    }
  }

  /**
   * Called when the rest of a value is no longer needed. Closes the connection, unless other
   * requests wait behind the value: then the rest is read and dropped.
   */
  void streamCancelled(StreamedReply reply) {
    if (phase == reply && inFlightAttempts.size() <= 1) {
      channel.close();
    } else {
      setReading(true);
    }
  }

  /** Enables or disables reading from the socket. */
  void setReading(boolean isReading) {
    if (channel.config().isAutoRead() != isReading) {
      receiveActivity.markActive();
      channel.config().setAutoRead(isReading);
    }
  }

  /** Reports whether the connection broke or replied to the first request after an idle period. */
  private void reportIdlePeriod(boolean isBroken) {
    long idleNanos = inFlightAttempts.takeIdlePeriodNanos();
    if (idleNanos != InFlightAttempts.NO_IDLE_PERIOD) {
      pool.idlePeriodEnded(idleNanos, isBroken);
    }
  }

  /**
   * Makes the connection available again after all received bytes are decoded. If a request were
   * written earlier, surplus bytes after a reply would be taken for the answer to that request.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    receiveActivity.markActive();
    isReadInProgress = false;
    if (inFlightAttempts.isEmpty()
        && !inDoubtResolver.isReplyOutstanding()
        && decoder.isMidReply()) {
      closeCorrupted("unexpected bytes after the last reply");
    }
    if (state == State.OPEN && !isDraining) {
      pool.connectionAvailable(this);
    }
  }

  /**
   * Closes the connection if a reply has begun but makes no progress. Prevents an unterminated
   * line, or a length that is too large, from blocking all requests behind it until they time out.
   * Cost: a server that pauses within a reply for longer than the maximum loses the connection.
   */
  void closeIfStalled() {
    StreamedReply stream = phase instanceof StreamedReply streamedReply ? streamedReply : null;
    if (stream != null && !channel.config().isAutoRead()) {
      // Reading is disabled by this node; a client that does not read has a separate time limit.
      return;
    }
    if (decoder.isMidReply() && receiveActivity.isStalled(stream)) {
      closeCorrupted("reply incomplete: no bytes received within the maximum pause");
    }
  }

  /** Writes no more requests, and closes once no reply is awaited. Idempotent. */
  void drain() {
    isDraining = true;
    if (!inFlightAttempts.isAnyAwaited()) {
      channel.close();
    }
  }

  /**
   * Closes the connection after invalid bytes, since no further bytes can be trusted. Prevents one
   * request from being served with another's answer. The attempts in flight may have run. The
   * server is not considered failed.
   */
  private void closeCorrupted(String reason) {
    if (state == State.OPEN) {
      state = State.CORRUPTED;
      dispatcher.log(channel.remoteAddress() + ": " + reason);
      channel.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    boolean wasCorrupted = state == State.CORRUPTED;
    state = State.CLOSED;
    ServerClose close = ServerClose.of(wasCorrupted, isDraining);
    dispatcher.countServerClose(close);
    if (phase instanceof ReplyPhase.FirstRequestRejected rejectedPhase) {
      isDraining = true;
      phase = ReplyPhase.AWAITING_REPLY;
      pool.connectionRejected(rejectedPhase.attempt());
    }
    if (!inFlightAttempts.isEmpty() && !wasCorrupted && !decoder.isMidReply()) {
      reportIdlePeriod(true);
    }
    if (phase instanceof StreamedReply stream) {
      phase = ReplyPhase.AWAITING_REPLY;
      stream.fail();
    }
    for (Attempt attempt : inFlightAttempts.removeAll()) {
      dispatcher.attemptEnded(attempt, close.resultOf(attempt));
    }
    pool.connectionClosed(this);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof DecoderException && cause.getCause() != null) {
      closeCorrupted(cause.getCause().getMessage());
    } else if (!(cause instanceof IOException)) {
      dispatcher.reportFailure("server connection", cause);
    }
    ctx.close();
  }
}
