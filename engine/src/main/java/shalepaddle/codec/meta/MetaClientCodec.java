package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.engine.Reply;
import shalepaddle.front.ClientCodec;
import shalepaddle.front.RequestAdmission;
import shalepaddle.model.Settings;

/** The meta protocol as clients speak it. Owned by the event loop. */
public final class MetaClientCodec implements ClientCodec {
  private final MemoryBudget writeBudget;
  private final RequestNames names;
  private final RequestAdmission admission;

  /**
   * The codec of one front.
   *
   * @param writeBudget bounds the values of all writes that are open
   * @param settings names the classes and tenants; requests of other classes are rejected by the
   *     decoder
   * @param admission admits or rejects each request
   */
  public MetaClientCodec(MemoryBudget writeBudget, Settings settings, RequestAdmission admission) {
    this.writeBudget = writeBudget;
    this.names = new RequestNames(settings);
    this.admission = admission;
  }

  /**
   * From now on requests are read by these settings, on all connections. Classes that are removed
   * are still accepted until they expire; {@link #expireRemovedClasses} is due at that time.
   *
   * @param now the time by the loop's clock, as is {@code expireAtNanos}
   */
  public void updateSettings(Settings settings, long now, long expireAtNanos) {
    names.update(settings, now, expireAtNanos);
  }

  /** Rejects removed classes from now on, if they have expired. */
  public void expireRemovedClasses(long now) {
    names.expireRemoved(now);
  }

  @Override
  public CommandDecoder decoder() {
    return new MetaCommandDecoder(writeBudget, names, admission);
  }

  @Override
  public ByteBuf encode(ByteBufAllocator allocator, String id, Reply reply) {
    return MetaReplies.encode(allocator, id, reply);
  }

  @Override
  public ByteBuf encodeStreamEnd() {
    return MetaReplies.streamEnd();
  }

  @Override
  public ByteBuf encodeDuplicateId(ByteBufAllocator allocator) {
    return MetaReplies.line(allocator, WireNames.CLIENT_ERROR + " id in use");
  }
}
