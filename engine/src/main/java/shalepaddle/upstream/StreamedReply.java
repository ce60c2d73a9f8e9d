package shalepaddle.upstream;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import shalepaddle.engine.Attempt;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.LargeReply;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.engine.ValueSource;

/**
 * Streams a large value from a cache server to a client. The first {@value #MAX_BUFFERED_BYTES}
 * bytes are buffered, so that the attempt can still be retried; after that, chunks are forwarded as
 * they arrive, at the rate at which the client reads them.
 *
 * <p>Owned by its connection, on the event loop. Owns each chunk from {@link #add} until the chunk
 * is passed to the receiver or released.
 */
final class StreamedReply implements ReplyPhase, ValueSource {
  static final int MAX_BUFFERED_BYTES = 16 << 10;

  /** How chunks of the value are handled. */
  private enum State {
    /** Chunks are buffered; the value was not offered to the engine yet. */
    BUFFERING,
    /** Chunks are buffered until earlier responses on the client's connection are complete. */
    OFFERED,
    /** Chunks are passed to the receiver as they arrive. */
    RECEIVED,
    /** Chunks are released. */
    CANCELLED
  }

  private final ServerConnection connection;
  private final Dispatcher dispatcher;
  private final Attempt attempt;
  private final LargeReply reply;
  private final MemoryBudget budget;
  private final ArrayDeque<ByteBuf> bufferedChunks = new ArrayDeque<>();
  private int bufferedBytes;

  /** The size of the buffers that the buffered chunks are slices of. */
  private int reservedBytes;

  private State state = State.BUFFERING;
  private boolean isComplete;

  /** Null until {@link #start}, and after {@link #cancel}. */
  private Receiver receiver;

  StreamedReply(
      ServerConnection connection,
      Dispatcher dispatcher,
      Attempt attempt,
      LargeReply reply,
      MemoryBudget budget) {
    this.connection = connection;
    this.budget = budget;
    this.dispatcher = dispatcher;
    this.attempt = attempt;
    this.reply = reply;
  }

  /** Whether the value was offered to the engine: from then on its attempt cannot be retried. */
  boolean hasBeenOffered() {
    return state != State.BUFFERING;
  }

  /** Adds the next chunk and takes ownership of it. */
  void add(ByteBuf chunk) {
    if (state == State.CANCELLED) {
      chunk.release();
      return;
    }
    if (state == State.RECEIVED) {
      receiver.onChunk(chunk);
      return;
    }
    bufferedChunks.add(chunk);
    bufferedBytes += chunk.readableBytes();
    int chunkBufferBytes = chunk.unwrap() == null ? chunk.capacity() : chunk.unwrap().capacity();
    budget.reserveBeyond(chunkBufferBytes);
    reservedBytes += chunkBufferBytes;
    if (state == State.BUFFERING && bufferedBytes >= MAX_BUFFERED_BYTES) {
      offer();
    }
    if (state == State.OFFERED) {
      // Stops reading, since no receiver accepts the bytes yet.
      setReading(false);
    }
  }

  /** Offers the value to the engine, which may start or cancel it before this returns. */
  private void offer() {
    state = State.OFFERED;
    if (!dispatcher.responseReceived(attempt, reply, this)) {
      state = State.CANCELLED;
      discardRest();
    }
  }

  @Override
  public void start(Receiver receiver) {
    this.receiver = receiver;
    state = State.RECEIVED;
    setReading(true);
    for (ByteBuf chunk = bufferedChunks.poll(); chunk != null; chunk = bufferedChunks.poll()) {
      receiver.onChunk(chunk);
    }
    releaseReservation();
    if (isComplete) {
      receiver.onComplete();
    }
  }

  @Override
  public void setReading(boolean isReading) {
    connection.setReading(isReading);
  }

  @Override
  public void cancel() {
    state = State.CANCELLED;
    receiver = null;
    discardRest();
  }

  private void discardRest() {
    release();
    connection.streamCancelled(this);
  }

  /** Called when the last byte was received. */
  void complete() {
    isComplete = true;
    if (receiver != null) {
      receiver.onComplete();
    }
  }

  /** Called when the connection was lost before the end of the value. */
  void fail() {
    release();
    if (state == State.RECEIVED) {
      receiver.onFailure();
    }
  }

  private void release() {
    bufferedChunks.forEach(ByteBuf::release);
    bufferedChunks.clear();
    releaseReservation();
  }

  private void releaseReservation() {
    int bytes = reservedBytes;
    reservedBytes = 0;
    budget.release(bytes);
  }
}
