/**
 * An event loop's time: its turns and stalls, timers in ticks, the node's clock, and the log, which
 * is limited by time. It knows neither requests nor servers.
 *
 * <p>Each {@link shalepaddle.loop.LoopClock} and {@link shalepaddle.loop.Timers} belongs to one
 * event loop, whose thread owns its state. May call {@code sockets} and Netty's channels. Time is
 * read from the loop's {@link io.netty.util.concurrent.Ticker} alone, so that tests run in virtual
 * time.
 */
package shalepaddle.loop;
