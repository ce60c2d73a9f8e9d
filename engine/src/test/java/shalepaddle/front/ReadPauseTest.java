package shalepaddle.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ReadPauseTest {
  private final ReadPause readPause = new ReadPause();

  @Test
  void extendLengthensActivePauseWhenNewPauseEndsLater() {
    assertTrue(readPause.extend(1000, 100), "an exceeded quota starts a pause");
    assertFalse(readPause.extend(1090, 250), "an error extends the active pause and starts none");
    assertEquals(240, readPause.remainingNanos(1100));
    assertTrue(readPause.isActive());
    assertEquals(0, readPause.remainingNanos(1340));
    assertFalse(readPause.isActive());
  }

  @Test
  void extendKeepsActivePauseWhenNewPauseEndsEarlier() {
    readPause.extend(0, 250);
    readPause.extend(10, 20);
    assertEquals(200, readPause.remainingNanos(50));
  }

  @Test
  void startsNewPauseAfterPauseHasEnded() {
    readPause.extend(0, 250);
    assertEquals(0, readPause.remainingNanos(300));
    assertTrue(readPause.extend(301, 5));
    assertEquals(3, readPause.remainingNanos(303));
  }
}
