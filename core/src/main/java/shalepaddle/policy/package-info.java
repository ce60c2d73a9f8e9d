/**
 * Which server gets which attempt of a request, and what becomes of requests that no server
 * answers. {@link shalepaddle.policy.RequestRouter} takes each event, asks the rules of the
 * sub-packages and hands what follows to {@link shalepaddle.policy.RoutingActions}.
 *
 * <p>All state belongs to one router, and a router to one event loop; nothing here is thread-safe.
 * Time comes as an argument, in seconds, and randomness from one seeded source, so that the same
 * events lead to the same decisions. May call its sub-packages and {@link shalepaddle.model} alone:
 * no clock, socket, thread or file.
 */
package shalepaddle.policy;
