package shalepaddle.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import java.net.SocketAddress;
import shalepaddle.engine.Attempt;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.LargeReply;
import shalepaddle.engine.ServerReply;
import shalepaddle.loop.LoopClock;
import shalepaddle.model.Outcome;

/**
 * One connection to a cache server. Replies come in the order of the requests, so each is matched
 * with the oldest attempt in flight. All of it runs on the event loop.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter implements Attempt.Carrier {
  /**
   * A server with no capacity for a connection rejects the first request on it and closes it at
   * once. A rejection that is not followed by the close within this time was meant for the request.
   */
  private static final long REJECTED_CONNECTION_CLOSE_NANOS = 5_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Whether what comes on the connection can be used. */
  private enum State {
    OPEN,
    /** A reply was malformed or matched no request: is being closed, and ignores further bytes. */
    CORRUPTED,
    CLOSED
  }

  private final ServerPool pool;
  private final Dispatcher dispatcher;
  private final ServerCodec codec;
  private final ServerCodec.ReplyDecoder decoder;
  private final LoopClock clock;
  private final InFlightAttempts inFlight;
  private final ReceiveActivity received;
  private final long openedAtNanos;
  private Channel channel;
  private State state = State.OPEN;
  private ReplyPhase phase = ReplyPhase.AWAITING_REPLY;

  /** Whether it gets no more requests, and closes once no reply on it is awaited. */
  private boolean isDraining;

  /** Whether bytes read in this turn are still being decoded. */
  private boolean isReadInProgress;

  /** Whether the kernel has not taken all bytes of the last request; no other is written then. */
  private boolean isWritePending;

  /** Whether a request got any other answer than a rejection: the server has accepted it. */
  private boolean isAccepted;

  ServerConnection(ServerPool pool, ServerCodec codec, Dispatcher dispatcher) {
    this.pool = pool;
    this.codec = codec;
    decoder = codec.decoder();
    this.dispatcher = dispatcher;
    clock = dispatcher.clock();
    openedAtNanos = clock.refresh();
    inFlight = new InFlightAttempts(openedAtNanos);
    received = new ReceiveActivity(clock);
  }

  /** Begins to connect. The pool closes it, or gives it up, if that does not succeed. */
  ChannelFuture open(Bootstrap bootstrap, SocketAddress address) {
    ChannelFuture future = bootstrap.clone().handler(this).connect(address);
    channel = future.channel();
    return future;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    ctx.pipeline().addBefore(ctx.name(), null, decoder);
  }

  /** When it began to connect, by the loop's clock. */
  long openedAtNanos() {
    return openedAtNanos;
  }

  /** When something was received last, by the loop's clock. */
  long receivedAtNanos() {
    return received.receivedAtNanos();
  }

  /** When it last got a request or completed a reply, by the loop's clock. */
  long usedAtNanos() {
    return inFlight.changedAtNanos();
  }

  boolean isDraining() {
    return isDraining;
  }

  /**
   * Attempts in flight; {@code Integer.MAX_VALUE} while nothing may be written. Behind a large
   * value a request would wait for the value's client.
   */
  int load() {
    boolean isUnavailable =
        isDraining
            || state == State.CLOSED
            || isReadInProgress
            || isWritePending
            || phase != ReplyPhase.AWAITING_REPLY;
    return isUnavailable ? Integer.MAX_VALUE : inFlight.size();
  }

  /** Whether its first request is in flight: the server may still reject the connection. */
  boolean isUnproven() {
    return !isAccepted && !inFlight.isEmpty();
  }

  /** Writes an attempt, or returns it to the dispatcher if it must not be written any more. */
  void write(Attempt attempt) {
    long now = clock.refresh();
    if (attempt.isTooLateToWrite(now)
        || !dispatcher.guard().maySend(attempt, now, pool.isDrainingPastGrace(now))) {
      dispatcher.returnUnwritten(attempt);
      return;
    }
    attempt.assignTo(this);
    inFlight.add(attempt, now);
    long timeoutMillis = (attempt.deadlineNanos() - now + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
    // The channel owns the encoded bytes from here on.
    ChannelFuture written =
        channel.writeAndFlush(codec.encode(channel.alloc(), attempt.call(), timeoutMillis));
    if (!written.isDone()) {
      isWritePending = true;
      written.addListener(done -> pendingWriteDone(attempt, done.isSuccess()));
    } else if (written.isSuccess()) {
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
   * The result of this attempt is no longer needed. Closing the connection cancels it at the
   * server, but also breaks the other attempts: where there are any, its reply is read and dropped.
   * Nothing more is written, since the reply may never come.
   */
  @Override
  public void abandon(Attempt attempt, boolean overdue) {
    inFlight.abandon(attempt);
    drain();
    if (!attempt.isWritten() && attempt.isTooLateToWrite(clock.refresh())) {
      // Otherwise the rest of it would go out once the kernel takes more.
      channel.close();
    }
    if (overdue && received.receivedAtNanos() - attempt.sentAtNanos() < 0) {
      pool.suspectSilence(attempt.sentAtNanos());
    }
  }

  /** Takes what the decoder made; a buffer in it belongs to this handler. */
  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    received.mark();
    isReadInProgress = true;
    if (message instanceof ByteBuf chunk) {
      chunkReceived(chunk);
    } else if (message == LargeReply.END) {
      streamCompleted();
    } else if (message instanceof LargeReply large) {
      streamStarted(large);
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

  private void replyReceived(ServerReply reply) {
    Attempt oldest = match(reply, false);
    if (oldest == null) {
      return;
    }
    boolean isFirstRejected =
        reply.result() == Outcome.Result.SERVER_BUSY && !isAccepted && inFlight.size() == 1;
    isAccepted |= !isFirstRejected;
    if (isFirstRejected && !oldest.isEnded() && pool.hasOtherUsable(this)) {
      completeOldest();
      // It has provably not run, whatever becomes of it.
      oldest.detach();
      phase = new ReplyPhase.FirstRequestRejected(oldest);
      dispatcher
          .timers()
          .runNoEarlierThan(REJECTED_CONNECTION_CLOSE_NANOS, () -> connectionStayedOpen(reply));
      return;
    }
    if (!oldest.isEnded()) {
      dispatcher.responseReceived(oldest, reply);
    }
    completeOldest();
  }

  /** The connection has outlived its first answer: that rejected the request alone. */
  private void connectionStayedOpen(ServerReply reply) {
    if (phase instanceof ReplyPhase.FirstRequestRejected rejected) {
      phase = ReplyPhase.AWAITING_REPLY;
      isAccepted = true;
      dispatcher.responseReceived(rejected.attempt(), reply);
      pool.connectionAvailable(this);
    }
  }

  /** The attempt that a reply answers; null if it answers none, which is then dealt with here. */
  private Attempt match(ServerReply reply, boolean isLarge) {
    if (state != State.OPEN) {
      return null;
    }
    switch (inFlight.match(reply, isLarge)) {
      case OLDEST -> {
        reportIdlePeriod(false);
        return inFlight.oldest();
      }
      case DUPLICATE -> drain();
      case NONE -> corrupted("a reply matches no request");
    }
    return null;
  }

  /** The reply to the oldest attempt is complete. */
  private void completeOldest() {
    inFlight.completeOldest();
    inFlight.markChanged(clock.refresh());
    if (isDraining) {
      drain();
    }
  }

  private void streamStarted(LargeReply reply) {
    Attempt oldest = match(reply.head(), true);
    if (oldest != null) {
      phase = new StreamedReply(this, dispatcher, oldest, reply);
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
   * The rest of a value is no longer needed. Closes the connection, unless other requests wait
   * behind it: then the rest is read and dropped.
   */
  void streamCancelled(StreamedReply reply) {
    if (phase == reply && inFlight.size() <= 1) {
      channel.close();
    } else {
      setReading(true);
    }
  }

  /** Reads from the server or leaves what it sends in the socket. */
  void setReading(boolean on) {
    if (channel.config().isAutoRead() != on) {
      received.mark();
      channel.config().setAutoRead(on);
    }
  }

  /** The first request after an idle period is answered, or its connection broke. */
  private void reportIdlePeriod(boolean broke) {
    long idleNanos = inFlight.takeIdlePeriodNanos();
    if (idleNanos != InFlightAttempts.NO_IDLE_PERIOD) {
      pool.idlePeriodEnded(idleNanos, broke);
    }
  }

  /**
   * All that came is looked at, so the connection can be used again. No request is written earlier:
   * surplus bytes behind a reply would be taken for the answer to the next request.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    received.mark();
    isReadInProgress = false;
    if (inFlight.isEmpty() && decoder.isMidReply()) {
      corrupted("bytes behind the last reply");
    }
    if (state == State.OPEN && !isDraining) {
      pool.connectionAvailable(this);
    }
  }

  /**
   * Closes a connection on which a reply began and does not go on. Prevents a line without an end,
   * or a length that is too great, from blocking all requests behind it until they time out. Cost:
   * a server that pauses within a reply for longer loses the connection.
   */
  void closeIfStalled() {
    StreamedReply stream = phase instanceof StreamedReply streamed ? streamed : null;
    if (stream != null && !channel.config().isAutoRead()) {
      // This node itself does not read; the client's stall has a limit of its own.
      return;
    }
    if (decoder.isMidReply() && received.isStalled(stream)) {
      corrupted("a reply that does not end");
    }
  }

  /** Takes no more requests; closes once no reply is awaited. May be called more than once. */
  void drain() {
    isDraining = true;
    if (!inFlight.isAnyAwaited()) {
      channel.close();
    }
  }

  /**
   * What came can't be trusted, nor can anything after it: prevents serving one request with
   * another's answer. The attempts in flight may have run. The server is not taken for faulty.
   */
  private void corrupted(String reason) {
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
    if (phase instanceof ReplyPhase.FirstRequestRejected rejected) {
      isDraining = true;
      phase = ReplyPhase.AWAITING_REPLY;
      pool.connectionRejected(rejected.attempt());
    }
    if (!inFlight.isEmpty() && !wasCorrupted && !decoder.isMidReply()) {
      reportIdlePeriod(true);
    }
    if (phase instanceof StreamedReply stream) {
      phase = ReplyPhase.AWAITING_REPLY;
      stream.fail();
    }
    for (Attempt attempt = inFlight.removeOldest();
        attempt != null;
        attempt = inFlight.removeOldest()) {
      dispatcher.attemptEnded(attempt, resultOfClose(attempt, wasCorrupted));
    }
    pool.connectionClosed(this);
  }

  /** A request whose last byte was not handed to the socket has provably not run. */
  private static Outcome.Result resultOfClose(Attempt attempt, boolean wasCorrupted) {
    if (!attempt.isWritten()) {
      return Outcome.Result.CONNECT_FAILED;
    }
    return wasCorrupted ? Outcome.Result.MALFORMED_RESPONSE : Outcome.Result.RESET;
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof DecoderException && cause.getCause() != null) {
      corrupted(cause.getCause().getMessage());
    } else if (!(cause instanceof IOException)) {
      dispatcher.reportFailure("server connection", cause);
    }
    ctx.close();
  }
}
