package shalepaddle.engine;

import shalepaddle.model.Request;

/**
 * A request as a client's connection or the library submits it. The engine owns it from then on.
 *
 * @param request what the policy decides by
 * @param payload what is forwarded; released by the engine, also where it rejects the call
 * @param sink where the answer goes
 */
public record Call(Request request, Payload payload, ReplySink sink) {}
