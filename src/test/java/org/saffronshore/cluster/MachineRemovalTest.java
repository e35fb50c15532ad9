package org.saffronshore.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.saffronshore.TestData.heartbeat;
import static org.saffronshore.TestData.taskStatus;

import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.JobBuilder;
import org.saffronshore.wire.Heartbeat;
import org.saffronshore.wire.Heartbeat.ExitReason;
import org.saffronshore.wire.Heartbeat.TaskState;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Priority;

/** Tests of machines that the cloud preempts, or that are drained and returned. */
class MachineRemovalTest extends ClusterTestBase {
  /**
   * Parameters: whether the task saves checkpoints, for how many seconds of an estimated runtime of
   * 30 s it had run when a preemption notice of 14 s arrived, and whether it is stopped at once.
   */
  @ParameterizedTest
  @CsvSource({"true, 1, true", "true, 24, false", "false, 1, true", "false, 20, false"})
  void preemptionNoticeStopsTasksThatCannotFinishInTime(
      boolean supportsCheckpoints, double ranS, boolean stopped) {
    JobSpec job =
        JobBuilder.job("wk-1", "red", Priority.STANDARD)
            .cpus(4)
            .checkpoints(supportsCheckpoints ? 10 : 0, supportsCheckpoints ? 2 : 0)
            .build();
    cluster.addJob(job, 101, 0, new BitSet(), Integer.MAX_VALUE);
    Machine machine = addUpMachine("host-1");
    long attempt = launch(machine).launches().get(0).number();
    Heartbeat.TaskStatus running =
        taskStatus("wk-1", 0, attempt, TaskState.RUNNING, ExitReason.NONE);
    cluster.heartbeatReceived(heartbeat("host-1", 1, 50, TERM, running));
    loop.advance(ranS);
    cluster.heartbeatReceived(
        new Heartbeat(
            "host-1", "10.1.0.1:9000", "big", "a", true, 1, 51, TERM, 14.0, List.of(running)));
    assertEquals(stopped, machine.attempts().iterator().next().isStopping());
    assertFalse(machine.isSchedulable(loop.now()));
  }

  @Test
  void machineIsMovableOnlyAfterItsCheckpointingTasksRanForTheMinimumTime() {
    JobSpec job =
        JobBuilder.job("wk-1", "red", Priority.STANDARD)
            .cpus(4)
            .estimatedRuntimeS(300)
            .checkpoints(10, 2)
            .build();
    cluster.addJob(job, 101, 0, new BitSet(), Integer.MAX_VALUE);
    Machine machine = addUpMachine("host-1");
    long attempt = launch(machine).launches().get(0).number();
    cluster.heartbeatReceived(
        heartbeat(
            "host-1",
            1,
            50,
            TERM,
            taskStatus("wk-1", 0, attempt, TaskState.RUNNING, ExitReason.NONE)));
    assertFalse(cluster.capacity().isMovable(machine, 10));
    loop.advance(11);
    cluster.heartbeatReceived(
        heartbeat(
            "host-1",
            1,
            51,
            TERM,
            taskStatus("wk-1", 0, attempt, TaskState.RUNNING, ExitReason.NONE)));
    assertTrue(cluster.capacity().isMovable(machine, 10));
    cluster.drain(machine);
    assertTrue(machine.isDraining() && !machine.isSchedulable(loop.now()));
    assertFalse(hasPlaceableJob(), "the task stays on the machine until it has saved a checkpoint");
  }
}
