package shalepaddle.engine;

import shalepaddle.diagnostics.Event;
import shalepaddle.diagnostics.FlightRecorder;
import shalepaddle.loop.Log;

/**
 * Hands final answers to the sinks of calls, and counts what becomes of the calls. Owned by the
 * event loop's thread, but for {@link #deliver}.
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

  /** Gives an accepted call its final answer. */
  void answer(Call call, Reply reply) {
    recorder.record(Event.ANSWERED, call.request().id(), kind(reply));
    // A streamed value is counted at its end.
    if (!CoalescedReads.isShared(call) && !(reply instanceof Reply.Streamed)) {
      metrics.answered(call.request().serviceClass(), reply);
    }
    deliver(call, reply);
  }

  private static String kind(Reply reply) {
    return reply instanceof Reply.Rejected
        ? "rejected"
        : reply instanceof Reply.Failed ? "failed" : "served";
  }

  /** Calls the sink alone. An exception of the sink is logged: other calls must not suffer. */
  void deliver(Call call, Reply reply) {
    try {
      call.sink().reply(reply);
    } catch (RuntimeException e) {
      log.failure("reply sink", e);
    }
  }

  /** The client of this call has left before its answer. */
  void clientDisconnected(Call call) {
    if (!CoalescedReads.isShared(call)) {
      metrics.clientDisconnected();
    }
  }
}
