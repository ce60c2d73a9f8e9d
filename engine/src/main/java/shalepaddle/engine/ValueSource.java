package shalepaddle.engine;

import io.netty.buffer.ByteBuf;

/**
 * A large value that is still being received from a cache server. All methods are called on the
 * event loop's thread.
 */
public interface ValueSource {
  /** Receives the value as it arrives. */
  interface Receiver {
    /** Receives the next chunk and takes ownership of it. */
    void onChunk(ByteBuf bytes);

    /** Called when the value is complete. */
    void onComplete();

    /** Called when the server's connection is lost, so that the value stays incomplete. */
    void onFailure();
  }

  /** Passes the bytes received so far and all further bytes to the receiver. Called once. */
  void start(Receiver receiver);

  /** Starts or stops reading from the server, for backpressure from the receiver. */
  void setReading(boolean isReading);

  /**
   * Discards the rest of the value and calls the receiver no more. No effect after the end of the
   * value.
   */
  void cancel();

  /**
   * Does the same as {@link #cancel} for a value that has not arrived in time, so that its request
   * is answered as failed.
   */
  default void expire() {
    cancel();
  }
}
