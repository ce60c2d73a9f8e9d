/**
 * The routing policy: which server each attempt of a request is sent to, and how requests that no
 * server answers end. {@link shalepaddle.policy.RequestRouter} receives each event, applies the
 * rules of the sub-packages and passes the resulting actions to {@link
 * shalepaddle.policy.RoutingActions}.
 *
 * <p>All state belongs to one router, and a router to one event loop; nothing here is thread-safe.
 * Time is passed as an argument, in seconds, and randomness comes from one seeded source, so that
 * the same events lead to the same decisions. May depend only on its sub-packages and {@link
 * shalepaddle.model}, and must not use clocks, sockets, threads or files.
 */
package shalepaddle.policy;
