package org.saffronshore.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.saffronshore.TestData.report;
import static org.saffronshore.TestData.task;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.TestData;
import org.saffronshore.wire.Heartbeat.ExitReason;
import org.saffronshore.wire.Heartbeat.TaskState;

/** Machines whose reports come, and that receive nothing of what they are sent. */
class UnresponsiveMachineTest extends ClusterTestBase {
  private CommandBatch lostLaunch(Machine m) {
    CommandBatch call = launch(m);
    cluster.batchCompleted(call, false, false, null);
    return call;
  }

  /**
   * Reports, sessions and answers to calls of a machine, and whether it still gets work and is
   * worth its price.
   */
  @ParameterizedTest
  @CsvSource({
    "session rises although answered,     false, true",
        "session rises after a silence,       true, false",
    "launch is never seen,                false, true",
        "launch is seen,                      true, false",
    "session rises and a call is answered, true, false"
  })
  void anUnresponsiveMachineGetsNoWorkAndIsReturned(String what, boolean usable, boolean returned) {
    Machine m = up("host-1");
    job(101);
    long session = 1;
    if (what.startsWith("launch")) {
      CommandBatch call = lostLaunch(m);
      if (what.endsWith("is seen")) {
        cluster.heartbeatReceived(
            report(
                "host-1",
                1,
                ++seq,
                TERM,
                task(
                    "wk-1",
                    0,
                    call.launches().get(0).number(),
                    TaskState.RUNNING,
                    ExitReason.NONE)));
      }
    } else {
      session = 2;
      loop.pass(what.contains("silence") ? TestData.LEASE_S + 1 : 3);
    }
    for (int i = 0; i < 9; i++) {
      if (m.taskCount() == 0 || !what.equals("launch is seen")) {
        cluster.heartbeatReceived(report("host-1", session, ++seq, TERM));
      } else {
        m.lastHeartbeatAt = loop.now();
      }
      cluster.unresponsiveMachines().detect();
      if (what.endsWith("is answered")) {
        cluster.batchCompleted(
            new CommandBatch(m, 2, List.of(), List.of()),
            true,
            false,
            report("host-1", 2, ++seq, TERM));
      }
      loop.pass(3);
    }
    assertEquals(usable, m.isSchedulable(loop.now()));
    assertEquals(returned, cluster.unresponsiveMachines().isUnusable(m));
  }

  /**
   * Nothing was heard for a while because this node stood still: hundreds must not count as silent
   * or deaf for it.
   */
  @ParameterizedTest
  @CsvSource({"true, true", "false, false"})
  void aStandstillOfOursIsNoMachinesFault(boolean noticed, boolean usable) {
    job(101);
    Machine m = up("host-1");
    Machine other = up("host-2");
    CommandBatch call = launch(other);
    cluster.batchCompleted(call, false, false, null);
    loop.standStill(10);
    if (noticed) {
      cluster.onProcessPause();
    }
    cluster.registry().cordonSilent();
    assertEquals(usable, m.isSchedulable(loop.now()));
    assertEquals(usable, cluster.registry().takeCordonedMachines().isEmpty());
    other.lastHeartbeatAt = loop.now();
    cluster.unresponsiveMachines().detect();
    assertEquals(!usable, other.unresponsive, "it had no chance to show that it heard the launch");
    loop.pass(TestData.LEASE_S - 9);
    cluster.expireLeases();
    assertEquals(0, other.taskCount(), "what it was told counts from when it was told");
  }

  /**
   * It never shows the new term's token; older jobs wait for it only until the cloud has taken it
   * back.
   */
  @Test
  void aMachineThatNeverLearnsOfTheTermHoldsUpNobody() {
    cluster.addRegistered("host-1", 60, null);
    job(1);
    for (int i = 0; i < 8; i++) {
      cluster.heartbeatReceived(report("host-1", 1, ++seq, TERM - 1));
      cluster.unresponsiveMachines().detect();
      loop.pass(3);
    }
    cluster.heartbeatReceived(report("host-1", 2, ++seq, TERM - 1));
    assertFalse(
        placeable(), "an order of an earlier leader, which knew this session, may still arrive");
    assertTrue(cluster.unresponsiveMachines().isUnusable(cluster.machine("host-1")));
    cluster.machineRemoved(cluster.machine("host-1"), "returned");
    assertTrue(placeable());
  }

  /**
   * In the term that started it, the next session of a deaf machine is proof that the task is not
   * there.
   */
  @Test
  void theNextSessionFreesWhatAnUnresponsiveMachineHeld() {
    Machine m = up("host-1");
    job(101);
    lostLaunch(m);
    cluster.heartbeatReceived(report("host-1", 1, ++seq, TERM));
    assertFalse(placeable(), "the launch may yet arrive");
    cluster.heartbeatReceived(report("host-1", 2, ++seq, TERM));
    assertTrue(placeable());
    assertFalse(m.isSchedulable(loop.now()), "but not there");
  }

  /** When most machines seem deaf, it is this node that cannot be heard. */
  @Test
  void aLeaderThatNoMachineReceivesReturnsNothing() {
    List<Machine> all = new java.util.ArrayList<>();
    for (int i = 0; i < 10; i++) {
      all.add(up("host-" + i));
    }
    for (Machine m : all) {
      cluster.heartbeatReceived(report(m.id(), 2, ++seq, TERM));
    }
    loop.pass(7);
    assertTrue(all.stream().noneMatch(cluster.unresponsiveMachines()::isUnusable));
  }
}
