/**
 * The time of an event loop: its turns and stalls, timers with a fixed resolution, the node's
 * clock, and the rate-limited log. It does not depend on requests or servers.
 *
 * <p>Each {@link shalepaddle.loop.LoopClock} and {@link shalepaddle.loop.Timers} belongs to one
 * event loop, whose thread owns its state. The package may call {@code sockets} and Netty's
 * channels. Time is read only from the loop's {@link io.netty.util.concurrent.Ticker}, so that
 * tests can run in virtual time.
 */
package shalepaddle.loop;
