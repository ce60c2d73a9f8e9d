package shalepaddle.engine;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.function.Consumer;

/** Gathers a large value for who takes it whole only. Bounded by the longest value there is. */
final class ValueAggregator implements ValueSource.Receiver {
  private final Consumer<Reply> done;
  private final ByteBuf value;

  ValueAggregator(int length, Consumer<Reply> done) {
    this.done = done;
    this.value = Unpooled.buffer(length, length);
  }

  @Override
  public void onChunk(ByteBuf bytes) {
    value.writeBytes(bytes);
    bytes.release();
  }

  @Override
  public void onComplete() {
    done.accept(new Reply.Value(value));
  }

  @Override
  public void onFailure() {
    value.release();
    done.accept(new Reply.Failed(true));
  }
}
