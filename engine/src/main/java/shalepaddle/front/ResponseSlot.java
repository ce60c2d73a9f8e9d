package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.TimeUnit;
import shalepaddle.engine.ClientPresence;
import shalepaddle.engine.Reply;
import shalepaddle.engine.ReplySink;
import shalepaddle.engine.Submission;
import shalepaddle.engine.ValueSource;

/**
 * One response in the sequence of a connection's responses, and the sink for the reply to its
 * request. Owned by its {@link ResponseQueue}, on the event loop.
 */
final class ResponseSlot implements ReplySink, ValueSource.Receiver {
  /** The progress of the response. */
  private enum State {
    /** The response is not encoded yet, or the end of a streamed value is not encoded yet. */
    PENDING,
    /** The head of a streamed value is encoded and waits for earlier responses. */
    STREAM_READY,
    /** Chunks of the value are written as they arrive. */
    STREAMING,
    /** All remaining bytes of the response are encoded; earlier responses are written first. */
    COMPLETE
  }

  private final ResponseQueue responses;
  private State state = State.PENDING;
  private String requestId;
  private long readAtNanos;
  private long arrivalNanos;
  private long budgetNanos;

  /** Null if the command was answered without the engine. */
  private Submission submission;

  /** Encoded bytes that wait to be written, owned by this slot; null if there are none. */
  private ByteBuf encodedBytes;

  /** Not null in {@link State#STREAM_READY} and {@link State#STREAMING}. */
  private ValueSource source;

  private boolean closesConnection;

  ResponseSlot(ResponseQueue responses) {
    this.responses = responses;
  }

  /**
   * Sets the request that this response belongs to.
   *
   * @param readAtNanos when the request was read, by the loop's clock
   * @param arrivalNanos the earliest time at which its last byte can have arrived
   * @param budgetNanos how long the client waits from the arrival
   */
  void setRequest(String id, long readAtNanos, long arrivalNanos, long budgetNanos) {
    this.requestId = id;
    this.readAtNanos = readAtNanos;
    this.arrivalNanos = arrivalNanos;
    this.budgetNanos = budgetNanos;
  }

  /** Sets the engine's submission of the request, whose reply may have been given already. */
  void setSubmission(Submission submission) {
    this.submission = submission;
  }

  /** Lets the connection be closed after this response. */
  void setClosesConnection() {
    closesConnection = true;
  }

  boolean closesConnection() {
    return closesConnection;
  }

  String requestId() {
    return requestId;
  }

  /** The engine's submission, null if the command was answered without the engine. */
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

  /** Whether a submitted request has no complete response. */
  boolean isUnanswered() {
    return submission != null && state != State.COMPLETE;
  }

  /** Whether the response is incomplete and the time budget since the arrival is used up. */
  boolean isPastBudget(long now) {
    return state != State.COMPLETE && now - arrivalNanos >= budgetNanos;
  }

  /** Whether the response is incomplete and over half the time budget has passed since reading. */
  boolean isPastHalfBudget(long now) {
    return state != State.COMPLETE && now - readAtNanos > budgetNanos / 2;
  }

  @Override
  public boolean acceptsStream() {
    return true;
  }

  @Override
  public ClientPresence clientPresence(long now) {
    return responses.clientPresence(now);
  }

  @Override
  public void reply(Reply reply) {
    if (reply instanceof Reply.Streamed streamedReply) {
      streamReceived(streamedReply);
    } else {
      complete(responses.encode(requestId, reply));
    }
  }

  private void streamReceived(Reply.Streamed streamedReply) {
    if (!responses.isOpen()) {
      streamedReply.source().cancel();
      return;
    }
    source = streamedReply.source();
    encodedBytes = responses.encode(requestId, streamedReply);
    state = State.STREAM_READY;
    if (responses.isFirst(this)) {
      startStream();
    }
  }

  /** Writes the head and starts writing chunks, once all earlier responses are written. */
  void startStream() {
    state = State.STREAMING;
    responses.write(takeEncoded());
    source.start(this);
  }

  /** Removes and returns the encoded bytes, which the caller owns. */
  ByteBuf takeEncoded() {
    ByteBuf bytes = encodedBytes;
    encodedBytes = null;
    return bytes;
  }

  @Override
  public void onChunk(ByteBuf bytes) {
    responses.writeAndFlush(bytes);
    setReading(responses.isWritable());
  }

  /** Resumes or pauses reading the value from the server; no effect unless streaming. */
  void setReading(boolean isReading) {
    if (state == State.STREAMING) {
      source.setReading(isReading);
    }
  }

  @Override
  public void onComplete() {
    source = null;
    state = State.PENDING;
    complete(responses.encodeStreamEnd());
  }

  /** Closes the connection: the client detects by the length that the value is incomplete. */
  @Override
  public void onFailure() {
    source = null;
    state = State.PENDING;
    responses.streamFailed();
  }

  /** Sets the complete response and takes ownership of it. A second response is reported. */
  void complete(ByteBuf bytes) {
    if (!responses.isOpen()) {
      bytes.release();
    } else if (state == State.COMPLETE) {
      responses.reportSecondResponse(this);
      bytes.release();
    } else {
      state = State.COMPLETE;
      encodedBytes = bytes;
      if (responses.isFirst(this)) {
        responses.firstCompleted();
      }
    }
  }

  /** Releases the encoded bytes and cancels the streamed value after a client's disconnect. */
  void discard() {
    if (encodedBytes != null) {
      takeEncoded().release();
    }
    if (source != null) {
      ValueSource cancelledSource = source;
      source = null;
      state = State.PENDING;
      cancelledSource.cancel();
    }
  }
}
