package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.TimeUnit;
import shalepaddle.engine.Reply;
import shalepaddle.engine.ReplySink;
import shalepaddle.engine.Submission;
import shalepaddle.engine.ValueSource;

/**
 * The place of one response in the order of a connection's responses, and the sink of its request's
 * reply. Owned by its {@link ResponseQueue}, on the event loop.
 */
final class ResponseSlot implements ReplySink, ValueSource.Receiver {
  /** What there is of the response. */
  private enum State {
    /** No bytes of it are encoded, or its stream has ended and the end is not queued yet. */
    PENDING,
    /** A large value is its response, of which the encoded head waits for its turn. */
    STREAM_READY,
    /** The value's chunks go out as they come. */
    STREAMING,
    /** All of it, or its end, is encoded and goes out once it is its turn. */
    COMPLETE
  }

  private final ResponseQueue responses;
  private State state = State.PENDING;
  private String requestId;
  private long readAtNanos;
  private long arrivalNanos;
  private long budgetNanos;

  /** Null where the command was answered at once. */
  private Submission submission;

  /** Owned here until it is written or released; null if nothing waits. */
  private ByteBuf encoded;

  /** Set while {@link State#STREAM_READY} or {@link State#STREAMING}. */
  private ValueSource source;

  private boolean closesConnection;

  ResponseSlot(ResponseQueue responses) {
    this.responses = responses;
  }

  /**
   * Names the request that it is for.
   *
   * @param readAtNanos when it was read, by the loop's clock
   * @param arrivalNanos the earliest time at which its last byte can have arrived
   * @param budgetNanos how long its client waits from the arrival
   */
  void setRequest(String id, long readAtNanos, long arrivalNanos, long budgetNanos) {
    this.requestId = id;
    this.readAtNanos = readAtNanos;
    this.arrivalNanos = arrivalNanos;
    this.budgetNanos = budgetNanos;
  }

  /** The engine has taken the request. The reply may have come before. */
  void setSubmission(Submission submission) {
    this.submission = submission;
  }

  /** The connection is closed behind this response. */
  void setClosesConnection() {
    closesConnection = true;
  }

  boolean closesConnection() {
    return closesConnection;
  }

  String requestId() {
    return requestId;
  }

  /** Null where the command was answered at once. */
  Submission submission() {
    return submission;
  }

  long budgetMillis() {
    return TimeUnit.NANOSECONDS.toMillis(budgetNanos);
  }

  boolean isComplete() {
    return state == State.COMPLETE;
  }

  boolean isStreamReady() {
    return state == State.STREAM_READY;
  }

  /** Whether a request of the engine's has no complete response. */
  boolean isUnanswered() {
    return submission != null && state != State.COMPLETE;
  }

  /** Whether it is incomplete, and the request's time has passed since its earliest arrival. */
  boolean isPastBudget(long now) {
    return state != State.COMPLETE && now - arrivalNanos >= budgetNanos;
  }

  /** Whether it is incomplete, and over half the request's time has passed since it was read. */
  boolean isPastHalfBudget(long now) {
    return state != State.COMPLETE && now - readAtNanos > budgetNanos / 2;
  }

  @Override
  public boolean acceptsStream() {
    return true;
  }

  @Override
  public void reply(Reply reply) {
    if (reply instanceof Reply.Streamed streamed) {
      streamReceived(streamed);
    } else {
      complete(responses.encode(requestId, reply));
    }
  }

  private void streamReceived(Reply.Streamed streamed) {
    if (!responses.isOpen()) {
      streamed.source().cancel();
      return;
    }
    source = streamed.source();
    encoded = responses.encode(requestId, streamed);
    state = State.STREAM_READY;
    if (responses.isFirst(this)) {
      startStream();
    }
  }

  /** It is this response's turn: passes on the head, and the chunks from now on. */
  void startStream() {
    state = State.STREAMING;
    responses.write(takeEncoded());
    source.start(this);
  }

  /** The encoded bytes, which belong to the caller. */
  ByteBuf takeEncoded() {
    ByteBuf bytes = encoded;
    encoded = null;
    return bytes;
  }

  @Override
  public void onChunk(ByteBuf bytes) {
    responses.writeAndFlush(bytes);
    setReading(responses.isWritable());
  }

  /** Resumes or pauses reading the value from the server; no effect unless it is streaming. */
  void setReading(boolean on) {
    if (state == State.STREAMING) {
      source.setReading(on);
    }
  }

  @Override
  public void onComplete() {
    source = null;
    state = State.PENDING;
    complete(responses.streamEnd());
  }

  /** The client can tell by the length that the value is not complete. */
  @Override
  public void onFailure() {
    source = null;
    state = State.PENDING;
    responses.streamFailed();
  }

  /** Sets the complete response, and takes ownership of it; a second one is reported. */
  void complete(ByteBuf bytes) {
    if (!responses.isOpen()) {
      bytes.release();
    } else if (state == State.COMPLETE) {
      responses.reportSecondResponse(this);
      bytes.release();
    } else {
      state = State.COMPLETE;
      encoded = bytes;
      if (responses.isFirst(this)) {
        responses.firstCompleted();
      }
    }
  }

  /** The client has disconnected: releases the encoded bytes and cancels the streamed value. */
  void discard() {
    if (encoded != null) {
      takeEncoded().release();
    }
    if (source != null) {
      ValueSource cancelled = source;
      source = null;
      state = State.PENDING;
      cancelled.cancel();
    }
  }
}
