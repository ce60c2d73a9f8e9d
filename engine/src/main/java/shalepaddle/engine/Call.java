package shalepaddle.engine;

import shalepaddle.model.Request;

/**
 * A request as a front hands it to the engine, which owns it from then on.
 *
 * @param request what the decisions are made by
 * @param payload what is passed on; released by the engine, also where it does not take the call
 * @param sink where the answer goes
 */
public record Call(Request request, Payload payload, ReplySink sink) {}
