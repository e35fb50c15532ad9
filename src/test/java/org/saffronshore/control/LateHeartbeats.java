package org.saffronshore.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.saffronshore.ManualEventLoop;
import org.saffronshore.http.Request;

/**
 * Copies of heartbeats that the network keeps while one controller leads, and that it delivers to
 * the next leader once that one acts.
 */
final class LateHeartbeats {
  /** The latest delivery after the next leader has begun to act, in seconds. */
  private static final double MAX_DELAY_S = 15;

  private final ManualEventLoop loop;
  private final Random random;
  private final List<byte[]> kept = new ArrayList<>();

  /** The process that leads while the copies are kept; null before the first leader. */
  private ClusterSimulation.ControllerProcess leader;

  /** The fraction of the heartbeats of which a copy is kept. */
  double keptShare;

  LateHeartbeats(ManualEventLoop loop, Random random) {
    this.loop = loop;
    this.random = random;
  }

  /** Keeps a copy of some of the heartbeats. */
  void heartbeatSent(byte[] body) {
    if (keptShare > 0 && random.nextDouble() < keptShare) {
      kept.add(body);
    }
  }

  /** Schedules the delivery of the kept copies if another process acts as leader by now. */
  void activeLeaderIs(ClusterSimulation.ControllerProcess active) {
    if (active == leader) {
      return;
    }
    leader = active;
    for (byte[] body : kept) {
      loop.schedule(MAX_DELAY_S * random.nextDouble(), () -> deliver(body, active));
    }
    kept.clear();
  }

  /** Delivers a copy of a heartbeat to a controller, unless its process has crashed. */
  static void deliver(byte[] body, ClusterSimulation.ControllerProcess receiver) {
    if (!receiver.crashed) {
      receiver.controller.handle(
          new Request("POST", "/v1/report", body), (status, type, bytes, retryAfterS) -> {});
    }
  }
}
