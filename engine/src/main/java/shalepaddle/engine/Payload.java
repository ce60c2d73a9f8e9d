package shalepaddle.engine;

import io.netty.buffer.ByteBuf;

/**
 * What a request carries beside its {@link shalepaddle.model.Request}: a write's value, and the
 * bytes that the client sent. A codec of the same protocol may know the class of a payload and
 * forward its bytes unchanged; any other uses the value.
 *
 * <p>Owned by the engine once it is submitted. It is released once, when no further attempt can
 * follow; attempts that are being written retain what they need.
 */
public interface Payload {
  /** The payload of a request without one. */
  Payload NONE =
      new Payload() {
        @Override
        public ByteBuf value() {
          return null;
        }

        @Override
        public void release() {
          // There is nothing to release.
        }
      };

  /** The value of a write, null for a read. Callers leave its indices and its count as they are. */
  ByteBuf value();

  /** The idempotency key by which servers recognise a repeated write, null for none. */
  default String idempotencyKey() {
    return null;
  }

  /** Releases all buffers. Idempotent. */
  void release();
}
