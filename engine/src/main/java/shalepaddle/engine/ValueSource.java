package shalepaddle.engine;

import io.netty.buffer.ByteBuf;

/**
 * A large value that is still coming from a cache server. All of it runs on the engine's thread.
 */
public interface ValueSource {
  /** Who takes the value as it comes. */
  interface Receiver {
    /** The next piece, which belongs to the receiver. */
    void onChunk(ByteBuf bytes);

    /** It is whole. */
    void onComplete();

    /** It will never be whole: the server broke off. */
    void onFailure();
  }

  /** Gives what has come, and from now on what comes, to the receiver. Called once. */
  void start(Receiver receiver);

  /** Whether more may come: what the receiver can not take stays with the server. */
  void setReading(boolean on);

  /** Nobody wants the rest; the receiver hears nothing more. Does nothing once it is over. */
  void cancel();
}
