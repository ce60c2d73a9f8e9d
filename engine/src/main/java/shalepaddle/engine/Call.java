package shalepaddle.engine;

import shalepaddle.model.Request;

/**
 * A request submitted by a client's connection or by a user of the library. Owned by the engine
 * once it is submitted.
 *
 * @param request the properties that the policy's decisions are based on
 * @param payload the content to forward; released by the engine, also if it rejects the call
 * @param sink receives the answer
 */
public record Call(Request request, Payload payload, ReplySink sink) {}
