package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.engine.Reply;
import shalepaddle.front.ClientCodec;
import shalepaddle.front.RequestAdmission;
import shalepaddle.model.Settings;

/** The meta protocol, as clients speak it. */
public final class MetaClientCodec implements ClientCodec {
  private final MemoryBudget values;
  private final RequestNames names;
  private final RequestAdmission gate;

  /**
   * The codec of one front.
   *
   * @param values bounds the values that all connections' requests hold together
   * @param settings names the classes and tenants; requests of other classes are turned down at the
   *     edge
   * @param gate is asked about each request
   */
  public MetaClientCodec(MemoryBudget values, Settings settings, RequestAdmission gate) {
    this.values = values;
    this.names = new RequestNames(settings);
    this.gate = gate;
  }

  /**
   * From now on requests are read by these settings, on all connections. Classes that are dropped
   * are still taken until then; {@link #expireRemovedClasses} is due at that time.
   */
  public void updateSettings(Settings settings, long now, long until) {
    names.retune(settings, now, until);
  }

  /** Turns down classes that were dropped and whose time is up. */
  public void expireRemovedClasses(long now) {
    names.forget(now);
  }

  @Override
  public CommandDecoder decoder() {
    return new MetaCommandDecoder(values, names, gate);
  }

  @Override
  public ByteBuf encode(ByteBufAllocator allocator, String id, Reply reply) {
    return MetaReplies.encode(allocator, id, reply);
  }

  @Override
  public ByteBuf encodeStreamEnd() {
    return MetaReplies.valueEnd();
  }

  @Override
  public ByteBuf encodeDuplicateId(ByteBufAllocator allocator) {
    return MetaReplies.line(allocator, "CLIENT_ERROR id in use");
  }
}
