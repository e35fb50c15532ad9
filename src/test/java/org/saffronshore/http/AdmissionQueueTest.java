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
  private final AdmissionQueue queue =
      new AdmissionQueue(
          loop,
          Map.of(
              RequestClass.HEARTBEAT, 20, RequestClass.DECISION, 20, RequestClass.SUBMISSION, 20));
  private final List<RequestClass> handled = new ArrayList<>();

  @Test
  void heartbeatsAreHandledBeforeDecisionsAndSubmissions() {
    for (int i = 0; i < 10; i++) {
      for (RequestClass requestClass :
          List.of(RequestClass.SUBMISSION, RequestClass.DECISION, RequestClass.HEARTBEAT)) {
        assertTrue(queue.offer(requestClass, () -> handled.add(requestClass)));
      }
    }
    loop.advance(0);
    assertEquals(30, handled.size());
    assertEquals(handled.stream().sorted().toList(), handled);
  }

  @Test
  void requestOfAFullClassIsRefusedWhileOtherClassesAreAccepted() {
    for (int i = 0; i < 20; i++) {
      assertTrue(queue.offer(RequestClass.SUBMISSION, () -> handled.add(RequestClass.SUBMISSION)));
    }
    assertFalse(queue.offer(RequestClass.SUBMISSION, () -> handled.add(RequestClass.SUBMISSION)));
    assertTrue(queue.offer(RequestClass.HEARTBEAT, () -> handled.add(RequestClass.HEARTBEAT)));
    loop.advance(0);
    assertEquals(RequestClass.HEARTBEAT, handled.get(0));
    assertEquals(21, handled.size());
  }
}
