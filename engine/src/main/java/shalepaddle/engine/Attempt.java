package shalepaddle.engine;

import shalepaddle.loop.Timers;
import shalepaddle.model.Outcome;

/** One send of a request to one cache server. */
public final class Attempt {
  /** A connection that carries attempts. */
  public interface Carrier {
    /**
     * Nobody waits for this attempt any more.
     *
     * @param overdue whether the server has not answered it in time
     */
    void abandon(Attempt attempt, boolean overdue);
  }

  public final Exchange request;
  final int number;
  public final long server;
  public final long sentAt;

  /** How long the event loop had stood still in all when it was sent. */
  final long stoodBefore;

  /** When this node stops waiting for it. */
  public long deadlineNanos;

  Timers.Timer timeout;

  /** What is written to the server, in the words of somebody who waits for the answer. */
  public Call call;

  /** What it was written to, null while it waits for a connection. */
  public Carrier carrier;

  /** Whether its last byte was handed to the socket: from then on it may have run. */
  public boolean written;

  /** Whether its outcome is settled; what the server says of it after that is dropped. */
  public boolean over;

  /** Whether its outcome proves that it was never carried out. */
  boolean provenNotRun;

  /** Whether its answer is no longer wanted, though it may still come on its connection. */
  public boolean abandoned;

  Attempt(
      Exchange request,
      int number,
      long server,
      long sentAt,
      long deadlineNanos,
      long stoodBefore) {
    this.request = request;
    this.call = request.bearer;
    this.number = number;
    this.server = server;
    this.sentAt = sentAt;
    this.deadlineNanos = deadlineNanos;
    this.stoodBefore = stoodBefore;
  }

  /** Whether it may have been carried out, or may yet be. */
  boolean mayHaveRun() {
    return over ? !provenNotRun : written;
  }

  /** Whether it was sent under this id. */
  public boolean has(String id) {
    return call.request().id().equals(id);
  }

  /** Whether a reply whose value is still to come can be the answer to it. */
  public boolean fitsValue(ServerReply reply) {
    return has(reply.id()) && !request.call.request().write();
  }

  /** Whether a reply can be the answer to it: of its request, a value for a read alone. */
  public boolean fits(ServerReply reply) {
    boolean named = reply.id() == null || has(reply.id());
    boolean served = reply.result() == Outcome.Result.OK;
    boolean value = reply.value() != null;
    return named && (!served || value != request.call.request().write());
  }
}
