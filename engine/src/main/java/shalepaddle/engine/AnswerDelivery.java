package shalepaddle.engine;

import shalepaddle.diagnostics.Event;
import shalepaddle.diagnostics.FlightRecorder;
import shalepaddle.loop.Log;

/**
 * Passes final answers to the sinks of calls, and counts answered and abandoned calls. Owned by the
 * event loop's thread, except for {@link #deliver}.
 */
final class AnswerDelivery {
  private final FlightRecorder recorder;
  private final RequestMetrics metrics;
  private final Log log;

  AnswerDelivery(FlightRecorder recorder, RequestMetrics metrics, Log log) {
    this.recorder = recorder;
    this.metrics = metrics;
    this.log = log;
  }

  /** Gives the final answer to an accepted call. */
  void answer(Call call, Reply reply) {
    recorder.record(Event.ANSWERED, call.request().id(), kindOf(reply));
    // The answer with a streamed value is counted when the value ends.
    if (!CoalescedReads.isShared(call) && !(reply instanceof Reply.Streamed)) {
      metrics.countAnswered(call.request().serviceClass(), reply);
    }
    deliver(call, reply);
  }

  private static String kindOf(Reply reply) {
    return reply instanceof Reply.Rejected
        ? "rejected"
        : reply instanceof Reply.Failed ? "failed" : "served";
  }

  /** Passes a reply to the sink without counting it. Logs an exception that the sink throws. */
  void deliver(Call call, Reply reply) {
    try {
      call.sink().reply(reply);
    } catch (RuntimeException e) {
      log.writeFailure("reply sink", e);
    }
  }

  /** Counts a call whose client disconnected before the answer. */
  void clientDisconnected(Call call) {
    if (!CoalescedReads.isShared(call)) {
      metrics.countDisconnected();
    }
  }
}
