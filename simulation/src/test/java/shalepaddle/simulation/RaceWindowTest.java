package shalepaddle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Days on which several things go wrong at almost the same moment, in deployments that differ in
 * deadlines, in how connections come up and in what may be called off, and many clients leave: the
 * four rules hold, and nothing is sent for a client that has left.
 */
class RaceWindowTest {
  private static final int MILLIS = 8000;

  static LongStream seeds() {
    return LongStream.rangeClosed(2001, 2150);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void nothingBreaks(long seed) {
    ScenarioReport report = ScenarioSimulation.play(ScenarioPlan.crossing(seed, MILLIS));
    assertEquals(List.of(), report.breaches(), report::toString);
  }

  /** Guards against a draw that leaves out what it is for. */
  @Test
  void eachTwoKindsMeetOnSomeSeed() {
    List<String> pairs = new ArrayList<>();
    for (long seed = 1; seed <= 2000; seed++) {
      ScenarioPlan usual = ScenarioPlan.of(seed, MILLIS);
      List<ScenarioPlan.Trouble> added =
          new ArrayList<>(ScenarioPlan.crossing(seed, MILLIS).troubles());
      usual.troubles().forEach(added::remove);
      for (int i = 0; i < added.size(); i++) {
        for (int j = i + 1; j < added.size(); j++) {
          pairs.add(added.get(i).kind() + " " + added.get(j).kind());
        }
      }
    }
    assertEquals(12 * 12, Set.copyOf(pairs).size(), "in either order");
    assertTrue(pairs.size() > 2000);
  }
}
