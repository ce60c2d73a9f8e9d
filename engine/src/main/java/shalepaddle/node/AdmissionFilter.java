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
 * Decides whether a request is admitted, by the overload control and the descriptors in use, and
 * counts each rejection. On the event loop alone, once or twice for each request.
 */
final class AdmissionFilter implements RequestAdmission {
  private final OverloadControl overload;
  private final Dispatcher dispatcher;
  private final LoopClock clock;
  private final DescriptorBudget descriptors;
  private final Supplier<Settings> settings;
  private final IntSupplier openRequests;

  /**
   * For one node.
   *
   * @param settings those in force now
   * @param openRequests client connections with an open request now; of other processes of this
   *     node all client connections
   */
  AdmissionFilter(
      OverloadControl overload,
      Dispatcher dispatcher,
      LoopClock clock,
      DescriptorBudget descriptors,
      Supplier<Settings> settings,
      IntSupplier openRequests) {
    this.overload = overload;
    this.dispatcher = dispatcher;
    this.clock = clock;
    this.descriptors = descriptors;
    this.settings = settings;
    this.openRequests = openRequests;
  }

  @Override
  public boolean mayReject() {
    overload.onConnectionSlotUsage(descriptors.requestRatio(openRequests.getAsInt()));
    return overload.isShedding();
  }

  @Override
  public long admit(int serviceClass, int tenant, long subject, boolean repeat) {
    long advice = overload.admit(serviceClass, tenant, subject, repeat, clock.now());
    if (advice != ADMITTED) {
      dispatcher.recorder().count(Event.REJECTED_ADMISSION, 1);
      dispatcher
          .metrics()
          .rejectedBeforeParsing(settings.get().services().get(serviceClass).name());
    }
    return advice;
  }

  @Override
  public void rejectedAfterAdmission(String serviceClass) {
    dispatcher.recorder().count(Event.REJECTED_MEMORY, 1);
    dispatcher.metrics().rejectedBeforeParsing(serviceClass);
  }
}
