package shalepaddle.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.List;
import shalepaddle.engine.Attempt;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.ServerReply;
import shalepaddle.model.Outcome;

/**
 * Resolves the attempts of one connection that are in doubt: writes a barrier of no-ops behind
 * them, and ends them once it is passed. Without it, a copy of a rejection followed by an answer
 * with the id of another request would be taken for a rejection followed by the other request's
 * answer.
 *
 * <p>The barrier is written in front of the next request. If there is none soon, it is written
 * alone, which makes later barriers longer. Owned by the connection, on its event loop.
 */
final class InDoubtResolver {
  /** How long an attempt in doubt waits for the next request on its connection. */
  private static final long MAX_WAIT_FOR_REQUEST_NANOS = 50_000_000L;

  /** A request up to this size is sent in one segment with the no-ops in front of it. */
  private static final int MAX_SEGMENT_BYTES = 1024;

  private final InFlightAttempts inFlightAttempts;
  private final Dispatcher dispatcher;
  private final ServerCodec codec;
  private final NoOpBarrier barrier = new NoOpBarrier();
  private Channel channel;

  /** Whether a barrier was written behind the attempts that are in doubt now. */
  private boolean isBarrierWritten;

  /** Whether the attempts that are in doubt now were noticed by {@link #update}. */
  private boolean isDoubtKnown;

  /** Counts the doubts, to detect a timer of an earlier one. */
  private long doubtNumber;

  InDoubtResolver(InFlightAttempts inFlightAttempts, Dispatcher dispatcher, ServerCodec codec) {
    this.inFlightAttempts = inFlightAttempts;
    this.dispatcher = dispatcher;
    this.codec = codec;
  }

  /** Sets the channel to write to. Called once, before all other methods. */
  void setChannel(Channel channel) {
    this.channel = channel;
  }

  /** Whether the connection should be replaced, since its barriers have become long. */
  boolean isExhausted() {
    return barrier.isExhausted() && !inFlightAttempts.isInDoubt();
  }

  /** Whether the reply to a no-op is outstanding. */
  boolean isReplyOutstanding() {
    return barrier.isReplyOutstanding();
  }

  /** Called after each reply: arranges for a barrier if attempts have come into doubt. */
  void update() {
    if (!inFlightAttempts.isInDoubt()) {
      isBarrierWritten = false;
      isDoubtKnown = false;
    } else if (!isDoubtKnown) {
      isDoubtKnown = true;
      doubtNumber++;
      arrangeBarrier();
    }
  }

  private void arrangeBarrier() {
    if (inFlightAttempts.inDoubtCount() > 1) {
      // Replies to the later attempts are held until then.
      writeAlone(doubtNumber);
    } else if (inFlightAttempts.isAnyInDoubtAwaited()) {
      long awaitedDoubt = doubtNumber;
      dispatcher
          .timers()
          .runNoEarlierThan(MAX_WAIT_FOR_REQUEST_NANOS, () -> writeAlone(awaitedDoubt));
    }
  }

  private void writeAlone(long awaitedDoubt) {
    if (isDoubtKnown && awaitedDoubt == doubtNumber && !isBarrierWritten && channel.isActive()) {
      channel.writeAndFlush(barrierBytes(false), channel.voidPromise());
    }
  }

  /**
   * Writes a barrier without a flush, if attempts are in doubt that have none yet. Called before a
   * request is written.
   */
  void writeInFrontOf(ByteBuf request) {
    if (inFlightAttempts.isInDoubt() && !isBarrierWritten) {
      boolean isFollowed = request.readableBytes() <= MAX_SEGMENT_BYTES;
      channel.write(barrierBytes(isFollowed), channel.voidPromise());
    }
  }

  private ByteBuf barrierBytes(boolean isFollowed) {
    isBarrierWritten = true;
    return codec.encodeNoOps(channel.alloc(), barrier.begin(isFollowed));
  }

  /**
   * Handles the reply to a no-op, and ends the attempts in doubt if it passes the barrier.
   *
   * @return whether the connection can still be trusted
   */
  boolean noOpReplyReceived() {
    if (!barrier.replyReceived()) {
      return false;
    }
    if (!barrier.takePassed() || !isBarrierWritten) {
      return true;
    }
    List<InFlightAttempts.Resolution> resolutions = inFlightAttempts.resolve();
    if (resolutions == null) {
      return false;
    }
    update();
    resolutions.forEach(this::end);
    return resolutions.stream()
        .noneMatch(resolution -> resolution.result() == Outcome.Result.MALFORMED_RESPONSE);
  }

  private void end(InFlightAttempts.Resolution resolution) {
    Attempt attempt = resolution.attempt();
    ServerReply reply = resolution.reply();
    if (reply == null) {
      dispatcher.replyConfirmed(attempt, resolution.result());
      return;
    }
    try {
      if (!attempt.isEnded()) {
        dispatcher.responseReceived(attempt, reply);
      }
    } finally {
      if (reply.value() != null) {
        reply.value().release();
      }
    }
  }
}
