package org.saffronshore.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.saffronshore.ManualLoop;
import org.saffronshore.http.Admission.Rank;

class AdmissionTest {
  private final ManualLoop loop = new ManualLoop();
  private final Admission admission =
      new Admission(loop, Map.of(Rank.REPORT, 20, Rank.DECISION, 20, Rank.SUBMISSION, 20));
  private final List<Rank> done = new ArrayList<>();

  @Test
  void reportsThenDecisionsThenSubmissions() {
    for (int i = 0; i < 10; i++) {
      for (Rank rank : List.of(Rank.SUBMISSION, Rank.DECISION, Rank.REPORT)) {
        assertTrue(admission.offer(rank, () -> done.add(rank)));
      }
    }
    loop.pass(0);
    assertEquals(30, done.size());
    assertEquals(done.stream().sorted().toList(), done);
  }

  @Test
  void aFullRankRefusesAtOnceAndTheOthersDoNot() {
    for (int i = 0; i < 20; i++) {
      assertTrue(admission.offer(Rank.SUBMISSION, () -> done.add(Rank.SUBMISSION)));
    }
    assertFalse(admission.offer(Rank.SUBMISSION, () -> done.add(Rank.SUBMISSION)));
    assertTrue(admission.offer(Rank.REPORT, () -> done.add(Rank.REPORT)));
    loop.pass(0);
    assertEquals(Rank.REPORT, done.get(0));
    assertEquals(21, done.size());
  }
}
