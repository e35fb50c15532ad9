package org.saffronshore.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.saffronshore.JobBuilder;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Priority;
import org.saffronshore.wire.TaskId;

/**
 * Guards against optimizations that change the result of the scheduling cycle: for random clusters,
 * its plan must equal the plan of {@link ReferenceCycle}.
 */
class SchedulingCycleEquivalenceTest extends SchedulingTestBase {
  private static final int ROUNDS = 40;
  private static final int MACHINES = 12;
  private static final int TASKS_PER_MACHINE = 4;
  private static final int WAITING_JOBS = 12;

  /** The number in the id of the first waiting job; running jobs have smaller numbers. */
  private static final int FIRST_WAITING_JOB = 100;

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
  void planEqualsPlanOfReferenceCycleForRandomClusters(int seed) {
    for (int round = 0; round < ROUNDS; round++) {
      Random random = new Random(seed * 1000 + round);
      boolean evict = random.nextBoolean();
      SchedulingSettings settings = new SchedulingSettings(5, evict ? 0.5 : 0, 1, 0);
      long clusterSeed = random.nextLong();
      setUpCluster(new Random(clusterSeed));
      SchedulingPlan expected =
          ReferenceCycle.run(machines, jobs, teams, settings, evict, new Random(round), NOW);
      setUpCluster(new Random(clusterSeed));
      SchedulingPlan actual =
          SchedulingCycle.run(machines, jobs, teams, settings, evict, new Random(round), NOW);
      assertEquals(expected, actual);
    }
  }

  private void setUpCluster(Random random) {
    machines.clear();
    jobs.clear();
    teams.clear();
    addTeam("F", 0, 0);
    addTeam("G", random.nextInt(40), 0);
    addTeam("H", random.nextInt(40), 40 + random.nextInt(60));
    for (int i = 0; i < MACHINES; i++) {
      MachineView machine =
          addMachine(
              "host-" + i,
              random.nextBoolean() ? "a" : "b",
              random.nextBoolean(),
              random.nextBoolean() ? 4 : 16,
              new TaskId("wk-" + (FIRST_WAITING_JOB + random.nextInt(WAITING_JOBS)), 0));
      addRunningTasks(machine, i * TASKS_PER_MACHINE, random);
    }
    for (int i = 0; i < WAITING_JOBS; i++) {
      addWaitingJob(randomJob("wk-" + (FIRST_WAITING_JOB + i), random), i);
    }
  }

  private void addRunningTasks(MachineView machine, int firstJob, Random random) {
    double freeCpus = machine.freeNow().cpus;
    for (int i = 0; i < TASKS_PER_MACHINE; i++) {
      JobSpec job = randomJob("wk-" + (firstJob + i), random);
      if (job.cpus() <= freeCpus && random.nextInt(4) > 0) {
        freeCpus -= job.cpus();
        boolean stopping = random.nextInt(5) == 0;
        double runningSince = NOW - random.nextInt(60);
        machine.add(new PlacedTask(new TaskId(job.id(), 0), job, stopping, runningSince));
        team(job.team()).addLaunched(job, SchedulingSettings.DEFAULTS);
      }
    }
  }

  /**
   * Creates a random job. The order of the calls to {@code random} determines the clusters under
   * test.
   */
  private static JobSpec randomJob(String id, Random random) {
    String team = List.of("F", "G", "H").get(random.nextInt(3));
    Priority priority = List.of(Priority.STANDARD, Priority.URGENT).get(random.nextInt(2));
    return JobBuilder.job(id, team, priority)
        .tasks(1 + random.nextInt(8))
        .cpus(List.of(1, 2, 4, 8).get(random.nextInt(4)))
        .zone(random.nextInt(6) == 0 ? "a" : null)
        .zoneConstraints(random.nextInt(6) == 0, random.nextInt(6) == 0)
        .spot(random.nextInt(4) > 0)
        .checkpoints(random.nextInt(2) * 10, 3)
        .build();
  }
}
