package shalepaddle.engine;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.function.Consumer;

/**
 * Collects a large value for a sink that does not accept streams. Its memory is bounded by the
 * maximum length of a value in the protocol.
 */
final class ValueAggregator implements ValueSource.Receiver {
  private final Consumer<Reply> onAnswer;
  private final ByteBuf value;

  ValueAggregator(int valueBytes, Consumer<Reply> onAnswer) {
    this.onAnswer = onAnswer;
    this.value = Unpooled.buffer(valueBytes, valueBytes);
  }

  @Override
  public void onChunk(ByteBuf bytes) {
    value.writeBytes(bytes);
    bytes.release();
  }

  @Override
  public void onComplete() {
    onAnswer.accept(new Reply.Value(value));
  }

  @Override
  public void onFailure() {
    value.release();
    onAnswer.accept(new Reply.Failed(true));
  }
}
