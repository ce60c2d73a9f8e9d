package shalepaddle.upstream;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import shalepaddle.engine.Attempt;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.LargeReply;
import shalepaddle.engine.ValueSource;

/**
 * A large value on its way from a cache server to a client. The first {@value #MAX_BUFFERED_BYTES}
 * bytes are buffered, so that the attempt can be retried until then; after that each chunk goes on
 * as it comes and as fast as the client takes it.
 *
 * <p>Owned by its connection, on the event loop. It owns each chunk from {@link #add} until it
 * hands it to the receiver or releases it.
 */
final class StreamedReply implements ReplyPhase, ValueSource {
  static final int MAX_BUFFERED_BYTES = 16 << 10;

  /** Where chunks of the value go. */
  private enum State {
    /** They are buffered; the value was not yet offered to the engine. */
    BUFFERING,
    /** They stay buffered until earlier responses on the client's connection are complete. */
    OFFERED,
    /** They are passed to the receiver as they come. */
    RECEIVED,
    /** They are released. */
    CANCELLED
  }

  private final ServerConnection connection;
  private final Dispatcher dispatcher;
  private final Attempt attempt;
  private final LargeReply reply;
  private final ArrayDeque<ByteBuf> buffered = new ArrayDeque<>();
  private int bufferedBytes;
  private State state = State.BUFFERING;
  private boolean isComplete;

  /** Null until {@link #start}, and after {@link #cancel}. */
  private Receiver receiver;

  StreamedReply(
      ServerConnection connection, Dispatcher dispatcher, Attempt attempt, LargeReply reply) {
    this.connection = connection;
    this.dispatcher = dispatcher;
    this.attempt = attempt;
    this.reply = reply;
  }

  /** Whether the value was offered to the engine: from then on its attempt can't be retried. */
  boolean hasBeenOffered() {
    return state != State.BUFFERING;
  }

  /** Adds the next chunk, and takes ownership of it. */
  void add(ByteBuf chunk) {
    if (state == State.CANCELLED) {
      chunk.release();
      return;
    }
    if (state == State.RECEIVED) {
      receiver.onChunk(chunk);
      return;
    }
    buffered.add(chunk);
    bufferedBytes += chunk.readableBytes();
    if (state == State.BUFFERING && bufferedBytes >= MAX_BUFFERED_BYTES) {
      offer();
    }
    if (state == State.OFFERED) {
      // Prevents more from being read than can be passed on.
      setReading(false);
    }
  }

  /** The engine may start or cancel this before it returns. */
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
    for (ByteBuf chunk = buffered.poll(); chunk != null; chunk = buffered.poll()) {
      receiver.onChunk(chunk);
    }
    if (isComplete) {
      receiver.onComplete();
    }
  }

  @Override
  public void setReading(boolean on) {
    connection.setReading(on);
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

  /** The last byte has come. */
  void complete() {
    isComplete = true;
    if (receiver != null) {
      receiver.onComplete();
    }
  }

  /** The connection broke: the rest will never come. */
  void fail() {
    release();
    if (state == State.RECEIVED) {
      receiver.onFailure();
    }
  }

  private void release() {
    buffered.forEach(ByteBuf::release);
    buffered.clear();
  }
}
