package shalepaddle.engine;

import io.netty.buffer.ByteBuf;

/**
 * The content of a request besides its {@link shalepaddle.model.Request}: the value of a write, and
 * the bytes that the client sent. A codec of the same protocol may know the class of a payload and
 * forward its bytes unchanged; other codecs use the value.
 *
 * <p>Owned by the engine once it is submitted. Released once, when no further attempt can follow;
 * attempts that are being written retain the buffers they need.
 */
public interface Payload {
  /** The payload of a request that has no content besides its properties. */
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

  /** The value of a write, null for a read. Callers must not change its indices or its refCnt. */
  ByteBuf value();

  /** The idempotency key by which servers recognize a repeated write, null for none. */
  default String idempotencyKey() {
    return null;
  }

  /** Releases all buffers. Idempotent. */
  void release();
}
