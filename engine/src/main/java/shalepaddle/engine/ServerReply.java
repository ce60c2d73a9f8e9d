package shalepaddle.engine;

import io.netty.buffer.ByteBuf;
import shalepaddle.model.LoadReport;
import shalepaddle.model.Outcome;

/**
 * A cache server's response to an attempt, independent of any protocol.
 *
 * @param result the outcome that it stands for
 * @param id the request's id as the server repeats it, null where it does not
 * @param receipt a write's receipt, null for another reply
 * @param value a read's value, null for another reply; released by the connection that read it
 * @param note what it says of the server's cache
 * @param load the server's load report, null if none came along
 */
public record ServerReply(
    Outcome.Result result,
    String id,
    String receipt,
    ByteBuf value,
    Outcome.CacheStatus note,
    LoadReport load) {}
