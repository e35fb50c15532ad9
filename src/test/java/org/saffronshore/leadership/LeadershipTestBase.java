package org.saffronshore.leadership;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.saffronshore.leadership.SimulatedController.LEASE_DURATION_S;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.saffronshore.FakeStateService;
import org.saffronshore.ManualEventLoop;
import org.saffronshore.TestData;
import org.saffronshore.config.Settings;
import org.saffronshore.wire.InvalidFieldException;

/**
 * Simulated controllers on a manual clock, with a fake state service and a network that can fail.
 */
abstract class LeadershipTestBase {
  final ManualEventLoop loop = new ManualEventLoop();
  final FakeStateService service = new FakeStateService(loop);
  final Random random = new Random(5);
  final List<SimulatedController> controllers = new ArrayList<>();
  private final ObjectNode settingsJson = TestData.settingsJson();

  SimulatedController startController(String node, long seed) {
    try {
      Settings settings = Settings.parse(settingsJson.put("node", node));
      return new SimulatedController(loop, service, random, controllers, settings, seed);
    } catch (InvalidFieldException e) {
      throw new AssertionError(e);
    }
  }

  void startThreeControllers() {
    startControllers(3, 1);
  }

  void startControllers(int count, int seed) {
    ArrayNode peers = settingsJson.putArray("peers");
    for (int i = 1; i < count; i++) {
      peers.addObject().put("node", "n-" + i).put("area", "a").put("addr", "10.0.0.2:" + i);
    }
    for (int i = 0; i < count; i++) {
      startController("n-" + i, i + seed);
    }
    loop.advance(LEASE_DURATION_S * 3);
  }

  private static boolean isActiveLeader(SimulatedController controller) {
    return !controller.stopped && controller.leadership.isActive();
  }

  long activeLeaderCount() {
    return controllers.stream().filter(LeadershipTestBase::isActiveLeader).count();
  }

  SimulatedController activeLeader() {
    return controllers.stream().filter(LeadershipTestBase::isActiveLeader).findFirst().get();
  }

  /** Passes time in steps, and checks after each step that at most one leader is active. */
  void passCheckingSingleLeader(int steps, double stepS) {
    passMeasuringTimeWithoutLeader(steps, stepS);
  }

  /**
   * Passes time in steps, and checks after each step that at most one leader is active.
   *
   * @return the time without an active leader, in seconds
   */
  double passMeasuringTimeWithoutLeader(int steps, double stepS) {
    double withoutLeaderS = 0;
    for (int step = 0; step < steps; step++) {
      loop.advance(stepS);
      assertTrue(activeLeaderCount() <= 1);
      withoutLeaderS += activeLeaderCount() == 0 ? stepS : 0;
    }
    return withoutLeaderS;
  }
}
