package shalepaddle.engine;

import io.netty.buffer.ByteBuf;

/**
 * A large value that is still arriving from a cache server. All methods are called on the event
 * loop's thread.
 */
public interface ValueSource {
  /** Receives the value as it arrives. */
  interface Receiver {
    /** The next chunk, which the receiver owns. */
    void onChunk(ByteBuf bytes);

    /** The value is complete. */
    void onComplete();

    /** The server broke off: the value will never be complete. */
    void onFailure();
  }

  /** Gives what has arrived, and from now on what arrives, to the receiver. Called once. */
  void start(Receiver receiver);

  /** Whether to read on: what the receiver can not take stays with the server. */
  void setReading(boolean enabled);

  /** The rest is not wanted; the receiver is not called any more. No effect once it is over. */
  void cancel();
}
