package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.TimeUnit;
import shalepaddle.engine.ClientPresence;
import shalepaddle.engine.Reply;
import shalepaddle.engine.ReplySink;
import shalepaddle.engine.Submission;

/**
 * One response in the sequence of a connection's responses, and the sink for the reply to its
 * request. Owned by its {@link ResponseQueue}, on the event loop.
 */
final class ResponseSlot implements ReplySink {
  /** The progress of the response. */
  private enum State {
    /** The response is not encoded yet, or the end of a large value is not encoded yet. */
    PENDING,
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

  /** A large value that is being received or written; null for other responses. */
  private LargeValueResponse largeValue;

  /** The memory that is reserved for the response while it waits. */
  private int reservedBytes;

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
  public boolean acceptsValue(int valueBytes) {
    if (reservedBytes > 0 || !responses.isOpen() || responses.isWrittenAtOnce(this)) {
      return true;
    }
    if (!responses.memory().reserve(valueBytes)) {
      return false;
    }
    reservedBytes = valueBytes;
    return true;
  }

  @Override
  public void reply(Reply reply) {
    if (reply instanceof Reply.Streamed streamedReply) {
      streamReceived(streamedReply);
    } else if (reply instanceof Reply.Value valueReply) {
      complete(responses.encode(requestId, withMemory(valueReply)));
    } else {
      complete(responses.encode(requestId, reply));
    }
  }

  /** The reply itself, or a failure if its value has to wait and there is no memory for it. */
  private Reply withMemory(Reply.Value reply) {
    if (!acceptsValue(reply.value().readableBytes())) {
      reply.value().release();
      return new Reply.Failed(true);
    }
    return reservedBytes == 0 ? reply : new Reply.Value(responses.memory().compact(reply.value()));
  }

  private void streamReceived(Reply.Streamed streamedReply) {
    if (!responses.isOpen()) {
      streamedReply.source().cancel();
      return;
    }
    ByteBuf head = responses.encode(requestId, streamedReply);
    largeValue = new LargeValueResponse(this, responses, head, streamedReply);
    largeValue.start();
  }

  /** Called when all earlier responses are written and this one is not complete. */
  void becameFirst() {
    if (largeValue != null) {
      largeValue.proceed();
    }
  }

  /** When the response must be given, by the loop's clock. */
  long latestAnswerNanos() {
    return responses.latestAnswerNanos(arrivalNanos, budgetNanos);
  }

  /** The end of half of the request's time, or of the given time from now if that is earlier. */
  long endOfHoldNanos(long maxNanos) {
    long now = responses.now();
    return now + Math.min(maxNanos, arrivalNanos + budgetNanos / 2 - now);
  }

  /** Whether a part of a value is written and the rest may still break off. */
  boolean isValueAtRisk() {
    return largeValue != null && largeValue.isAtRisk();
  }

  /** Called when the client takes bytes again, or takes none for now. */
  void writabilityChanged() {
    if (largeValue != null) {
      largeValue.writabilityChanged();
    }
  }

  /** Called when all bytes of a large value are written. */
  void streamCompleted() {
    largeValue = null;
    complete(responses.encodeStreamEnd());
  }

  /** Called when a large value cannot be given and none of it is written. */
  void valueFailed() {
    largeValue = null;
    complete(responses.encode(requestId, new Reply.Failed(true)));
  }

  /** Removes and returns the encoded bytes, which the caller owns. */
  ByteBuf takeEncoded() {
    ByteBuf bytes = encodedBytes;
    encodedBytes = null;
    releaseMemory();
    return bytes;
  }

  private void releaseMemory() {
    responses.memory().release(reservedBytes);
    reservedBytes = 0;
  }

  /** Sets the complete response and takes ownership of it. A second response is reported. */
  void complete(ByteBuf bytes) {
    if (!responses.isOpen()) {
      bytes.release();
      releaseMemory();
    } else if (state == State.COMPLETE) {
      responses.reportSecondResponse(this);
      bytes.release();
    } else {
      state = State.COMPLETE;
      encodedBytes = bytes;
      if (responses.isFirst(this)) {
        responses.firstCompleted();
      }
      if (encodedBytes != null) {
        int missingBytes = Math.max(0, encodedBytes.readableBytes() - reservedBytes);
        responses.memory().reserveBeyond(missingBytes);
        reservedBytes += missingBytes;
      }
    }
  }

  /** Releases the encoded bytes and cancels a large value after a client's disconnect. */
  void discard() {
    if (encodedBytes != null) {
      takeEncoded().release();
    }
    if (largeValue != null) {
      LargeValueResponse discardedValue = largeValue;
      largeValue = null;
      discardedValue.discard();
    }
  }
}
