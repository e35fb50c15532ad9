package org.saffronshore.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.saffronshore.ManualEventLoop;
import org.saffronshore.http.AdmissionQueue.RequestClass;

class AdmissionQueueTest {
  private final ManualEventLoop loop = new ManualEventLoop();
  private final AdmissionQueue admission =
      new AdmissionQueue(
          loop,
          Map.of(
              RequestClass.HEARTBEAT, 20, RequestClass.DECISION, 20, RequestClass.SUBMISSION, 20));
  private final List<RequestClass> done = new ArrayList<>();

  @Test
  void heartbeatsAreHandledBeforeDecisionsAndSubmissions() {
    for (int i = 0; i < 10; i++) {
      for (RequestClass rank :
          List.of(RequestClass.SUBMISSION, RequestClass.DECISION, RequestClass.HEARTBEAT)) {
        assertTrue(admission.offer(rank, () -> done.add(rank)));
      }
    }
    loop.advance(0);
    assertEquals(30, done.size());
    assertEquals(done.stream().sorted().toList(), done);
  }

  @Test
  void fullClassRefusesAtOnceWhileTheOthersAccept() {
    for (int i = 0; i < 20; i++) {
      assertTrue(admission.offer(RequestClass.SUBMISSION, () -> done.add(RequestClass.SUBMISSION)));
    }
    assertFalse(admission.offer(RequestClass.SUBMISSION, () -> done.add(RequestClass.SUBMISSION)));
    assertTrue(admission.offer(RequestClass.HEARTBEAT, () -> done.add(RequestClass.HEARTBEAT)));
    loop.advance(0);
    assertEquals(RequestClass.HEARTBEAT, done.get(0));
    assertEquals(21, done.size());
  }
}
