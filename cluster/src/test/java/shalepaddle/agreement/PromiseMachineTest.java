package shalepaddle.agreement;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import shalepaddle.formats.Values;
import shalepaddle.promises.Answer;
import shalepaddle.promises.Promises;
import shalepaddle.promises.Proposal;

/** What is told of an entry as it is applied. */
class PromiseMachineTest {
  /** A follower may know the kind, though this member does not. */
  @Test
  void anEntryOfALaterVersionIsToldWithAllItsBytes() {
    byte[] later =
        Values.write("id", (id, out) -> out.put(id).put(7).put(77).put("what only they know"));
    List<byte[]> told = new ArrayList<>();
    PromiseMachine machine =
        new PromiseMachine(
            0,
            new Agreement.Listener() {
              @Override
              public void applied(long index, byte[] body, Proposal proposal, Answer answer) {
                assertEquals(Answer.Kind.NOT_KNOWN, answer.kind());
                told.add(body);
              }

              @Override
              public void restored(Promises.Image image) {}

              @Override
              public void changed(Standing standing) {}
            });
    machine.runOperation(3, later);
    assertEquals(1, told.size());
    assertArrayEquals(later, told.get(0));
  }
}
