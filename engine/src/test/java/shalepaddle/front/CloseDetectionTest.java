package shalepaddle.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.local.LocalIoHandler;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import shalepaddle.engine.ClientPresence;
import shalepaddle.loop.LoopClock;
import shalepaddle.loop.WatchedIoHandler;

class CloseDetectionTest {
  private static final int LARGE_READ_BYTES = 16 << 10;
  private static final int SMALL_READ_BYTES = 250;

  private final MockTicker ticker = Ticker.newMockTicker();
  private final LoopClock clock =
      new LoopClock(
          ticker,
          new LoopClock.Listener() {
            @Override
            public void onStall(long stallNanos) {}

            @Override
            public void onTaskFailure(RuntimeException cause) {
              throw cause;
            }
          });

  private final ManualIoEventLoop loop =
      new ManualIoEventLoop(
          null,
          Thread.currentThread(),
          WatchedIoHandler.factory(LocalIoHandler.newFactory(), clock),
          ticker);
  private final CloseDetection detection = new CloseDetection(clock, ticker.nanoTime());

  CloseDetectionTest() {
    detection.setPolled(true);
  }

  /** Runs a turn after each millisecond. */
  private void runTurns(int millis) {
    for (int i = 0; i < millis; i++) {
      ticker.advance(1, TimeUnit.MILLISECONDS);
      loop.runNow();
    }
  }

  /** Reads in a turn of its own bytes that arrived since the turn before. */
  private void read(int bytes, boolean isSocketEmpty) {
    ticker.advance(1, TimeUnit.MILLISECONDS);
    loop.execute(
        () -> {
          detection.bytesRead(bytes, clock.handledPollNanos());
          detection.readComplete(isSocketEmpty);
        });
    loop.runNow();
  }

  private void assertPresence(ClientPresence expected) {
    assertEquals(expected, detection.presence(ticker.nanoTime()));
  }

  @Test
  void clientIsConnectedWhilePollsDoNotReportItsSocket() {
    runTurns(500);
    assertPresence(ClientPresence.CONNECTED);
    assertEquals(ticker.nanoTime(), detection.openAtNanos());
  }

  @Test
  void clientIsConnectedJustBeforeItsBytesArrived() {
    runTurns(100);
    read(SMALL_READ_BYTES, true);
    assertPresence(ClientPresence.CONNECTED);
  }

  @Test
  void clientIsUnconfirmedInLongTurnAndConnectedAfterNextPoll() {
    runTurns(100);
    ticker.advance(60, TimeUnit.MILLISECONDS);
    assertPresence(ClientPresence.UNCONFIRMED);
    loop.runNow();
    assertPresence(ClientPresence.CONNECTED);
  }

  @Test
  void clientIsUnconfirmedWhileItsSocketIsNeverReadEmpty() {
    runTurns(100);
    long beforeNanos = detection.openAtNanos();
    for (int i = 0; i < 60; i++) {
      ticker.advance(1, TimeUnit.MILLISECONDS);
      loop.execute(
          () -> {
            detection.bytesRead(LARGE_READ_BYTES, beforeNanos);
            detection.readComplete(false);
          });
      loop.runNow();
    }
    assertPresence(ClientPresence.UNCONFIRMED);
  }

  @Test
  void clientIsUnknownWhileItsSocketIsNotPolled() {
    runTurns(100);
    detection.setPolled(false);
    runTurns(50);
    assertPresence(ClientPresence.CONNECTED);
    runTurns(1);
    assertPresence(ClientPresence.UNKNOWN);
    runTurns(500);
    assertPresence(ClientPresence.UNKNOWN);
  }

  /** Bytes that waited at the client's end arrive after the close that follows them. */
  @Test
  void bytesAfterInterruptionDoNotProveThatClientIsConnected() {
    runTurns(100);
    detection.setPolled(false);
    runTurns(100);
    detection.setPolled(true);
    for (int i = 0; i < 100; i++) {
      read(LARGE_READ_BYTES, true);
    }
    assertPresence(ClientPresence.UNCONFIRMED);
    runTurns(18);
    assertPresence(ClientPresence.UNCONFIRMED);
    runTurns(4);
    assertPresence(ClientPresence.CONNECTED);
  }

  /** So many bytes can have used up the receive window, though reading was never interrupted. */
  @Test
  void bytesBehindManyUnreadOnesDoNotProveThatClientIsConnected() {
    runTurns(100);
    read(LARGE_READ_BYTES, true);
    assertPresence(ClientPresence.CONNECTED);
    for (int i = 0; i < 60; i++) {
      read(LARGE_READ_BYTES, true);
    }
    assertPresence(ClientPresence.UNCONFIRMED);
    runTurns(22);
    assertPresence(ClientPresence.CONNECTED);
  }

  @Test
  void clientThatKeepsSendingRequestsIsConnectedWithoutInterruption() {
    for (int i = 0; i < 100; i++) {
      read(4 * SMALL_READ_BYTES, true);
      assertPresence(ClientPresence.CONNECTED);
    }
  }

  @Test
  void clientThatKeepsSendingRequestsIsConnectedAgainAfterInterruption() {
    runTurns(100);
    detection.setPolled(false);
    runTurns(100);
    detection.setPolled(true);
    for (int i = 0; i < 25; i++) {
      read(SMALL_READ_BYTES, true);
    }
    assertPresence(ClientPresence.CONNECTED);
  }

  @Test
  void unreadBytesDelayTheEndOfAnInterruption() {
    runTurns(100);
    detection.setPolled(false);
    runTurns(100);
    detection.setPolled(true);
    runTurns(15);
    read(SMALL_READ_BYTES, false);
    runTurns(18);
    assertPresence(ClientPresence.UNCONFIRMED);
    runTurns(4);
    assertPresence(ClientPresence.CONNECTED);
  }
}
