package shalepaddle.engine;

import io.netty.buffer.ByteBuf;

/**
 * What a request carries beside its {@link shalepaddle.model.Request}: a write's value, and the
 * client's own words for it. A codec of the same protocol may know the class of a payload and pass
 * its bytes on as they came; any other uses the value.
 *
 * <p>Belongs to the engine from the submit on. It is released once, when no further attempt can
 * follow; attempts that are being written keep holds of their own.
 */
public interface Payload {
  /** A payload of a request that carries nothing. */
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

  /** The value of a write, null for a read. It is not to be moved or released. */
  ByteBuf value();

  /** The key by which servers know a repeated write again, null where it has none. */
  default String idempotencyKey() {
    return null;
  }

  /** Lets all that is held go. Does nothing the second time. */
  void release();
}
