package shalepaddle.node;

import java.util.function.IntSupplier;
import java.util.function.Supplier;
import shalepaddle.diagnostics.Event;
import shalepaddle.engine.Dispatcher;
import shalepaddle.front.RequestAdmission;
import shalepaddle.loop.LoopClock;
import shalepaddle.model.Settings;
import shalepaddle.overload.OverloadControl;

/**
 * Admits or rejects requests based on overload control and the descriptors in use, and counts each
 * rejection. Called on the event loop only, once or twice for each request.
 */
final class AdmissionFilter implements RequestAdmission {
  private final OverloadControl overload;
  private final Dispatcher dispatcher;
  private final LoopClock clock;
  private final DescriptorBudget descriptors;
  private final Supplier<Settings> settings;
  private final IntSupplier connectionsAwaitingResponse;

  /**
   * Creates the filter of one node.
   *
   * @param settings returns the current settings
   * @param connectionsAwaitingResponse returns the current number of client connections with an
   *     open request, plus all client connections of this node's other processes
   */
  AdmissionFilter(
      OverloadControl overload,
      Dispatcher dispatcher,
      LoopClock clock,
      DescriptorBudget descriptors,
      Supplier<Settings> settings,
      IntSupplier connectionsAwaitingResponse) {
    this.overload = overload;
    this.dispatcher = dispatcher;
    this.clock = clock;
    this.descriptors = descriptors;
    this.settings = settings;
    this.connectionsAwaitingResponse = connectionsAwaitingResponse;
  }

  @Override
  public boolean mayReject() {
    overload.onConnectionSlotUsage(
        descriptors.requestRatio(connectionsAwaitingResponse.getAsInt()));
    return overload.isShedding();
  }

  @Override
  public long admit(int serviceClass, int tenant, long keyHash, boolean isRetry) {
    long decision = overload.admit(serviceClass, tenant, keyHash, isRetry, clock.now());
    if (decision != ADMITTED) {
      dispatcher.recorder().count(Event.REJECTED_ADMISSION, 1);
      dispatcher
          .metrics()
          .countRejectedBeforeParsing(settings.get().services().get(serviceClass).name());
    }
    return decision;
  }

  @Override
  public void rejectedAfterAdmission(String serviceClass) {
    dispatcher.recorder().count(Event.REJECTED_MEMORY, 1);
    dispatcher.metrics().countRejectedBeforeParsing(serviceClass);
  }
}
