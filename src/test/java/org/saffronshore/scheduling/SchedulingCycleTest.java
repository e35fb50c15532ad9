package org.saffronshore.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.saffronshore.TestData;
import org.saffronshore.config.Settings;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineKind;
import org.saffronshore.wire.Priority;
import org.saffronshore.wire.TaskId;

class SchedulingCycleTest {
  private static final double NOW = 100;
  private final List<MachineView> hosts = new ArrayList<>();
  private final List<PendingJob> jobs = new ArrayList<>();
  private final Map<String, Team> teams = new HashMap<>();

  private void team(String name, double guarantee, double most) {
    teams.put(
        name,
        new Team(
            new Settings.TeamQuota(name, guarantee, most, 0, 0), guarantee > 0 ? guarantee : 1));
  }

  private MachineView host(String id, String zone, boolean spot, double cpus, TaskId... barred) {
    MachineView host =
        new MachineView(
            id,
            new MachineKind("big", zone, spot),
            new Resources(cpus, 0, 1000),
            new HashSet<>(Arrays.asList(barred))::contains,
            Set.of());
    hosts.add(host);
    return host;
  }

  private void running(MachineView host, JobSpec job, int from, int to) {
    for (int i = from; i < to; i++) {
      host.add(new PlacedTask(new TaskId(job.id(), i), job, false, NOW - 10));
      teams.get(job.team()).use(job, SchedulingSettings.DEFAULTS);
    }
  }

  private void queued(JobSpec job, long order) {
    jobs.add(new PendingJob(job, order, all(job.tasks()), Map.of()));
  }

  private static BitSet all(int tasks) {
    BitSet all = new BitSet();
    all.set(0, tasks);
    return all;
  }

  private SchedulingPlan run(double evictionProbability) {
    SchedulingSettings tuning = new SchedulingSettings(5, evictionProbability, 1, 0);
    return SchedulingCycle.run(
        hosts, jobs, teams, tuning, evictionProbability > 0, new Random(1), NOW);
  }

  private static long placed(SchedulingPlan plan, String job) {
    return plan.placements().stream().filter(p -> p.task().job().equals(job)).count();
  }

  /**
   * The paper's example: 40 tasks of A on two machines of 32 cores, then 50 of B; each gets 32, and
   * 8 are stopped.
   */
  @Test
  void sharesTwoMachinesAsInThePaper() {
    team("A", 32, 0);
    team("B", 32, 0);
    JobSpec a = TestData.job("wk-1", "A", Priority.STANDARD, 40, 1);
    running(host("one", "a", false, 32), a, 0, 32);
    running(host("two", "a", false, 32), a, 32, 40);
    queued(TestData.job("wk-2", "B", Priority.STANDARD, 50, 1), 2);
    SchedulingPlan plan = run(1);
    assertEquals(24, placed(plan, "wk-2"));
    assertEquals(8, plan.preemptions().size());
    assertEquals(18, plan.unplaced().stream().mapToInt(SchedulingPlan.UnplacedTasks::tasks).sum());
  }

  /**
   * Who gets a machine of 8 CPUs: guarantees first, then classes, then the smaller share, then the
   * earlier job.
   */
  @ParameterizedTest
  @CsvSource({
    "G, STANDARD, 1, F, URGENT, 2, wk-1",
    "F, URGENT, 2, H, STANDARD, 1, wk-1",
    "F, STANDARD, 1, H, URGENT, 2, wk-2",
    "F, STANDARD, 1, F, URGENT, 2, wk-2",
    "F, STANDARD, 1, F, STANDARD, 2, wk-1",
    "F, STANDARD, 2, F, STANDARD, 1, wk-2",
    "F, STANDARD, 1, U, STANDARD, 2, wk-2"
  })
  void ordersWhatWaits(
      String team1,
      Priority class1,
      long order1,
      String team2,
      Priority class2,
      long order2,
      String winner) {
    team("G", 8, 0);
    team("F", 0, 0);
    team("H", 0, 0);
    team("U", 0, 0);
    teams.get("F").use(TestData.job("wk-9", "F", Priority.IDLE, 1, 4), SchedulingSettings.DEFAULTS);
    host("one", "a", false, 8);
    queued(TestData.job("wk-1", team1, class1, 1, 8), order1);
    queued(TestData.job("wk-2", team2, class2, 1, 8), order2);
    SchedulingPlan plan = run(0);
    assertEquals(List.of(winner), plan.placements().stream().map(p -> p.task().job()).toList());
    assertTrue(plan.preemptions().isEmpty());
  }

  /**
   * What runs on the only machine, what waits, and whether the one may be stopped for the other.
   */
  @ParameterizedTest
  @CsvSource({
    "F, STANDARD, H, URGENT, true", "F, URGENT, H, URGENT, false", "F, URGENT, H, STANDARD, false",
    "F, STANDARD, G, STANDARD, true", "F, URGENT, G, STANDARD, true",
        "G, STANDARD, F, URGENT, false",
    "G, STANDARD, G, URGENT, true", "F, STANDARD, F, STANDARD, false"
  })
  void stopsOnlyWhatTheRulesAllow(
      String runs, Priority runsClass, String waits, Priority waitsClass, boolean stops) {
    team("G", 8, 0);
    team("F", 0, 0);
    team("H", 0, 0);
    running(host("one", "a", false, 8), TestData.job("wk-1", runs, runsClass, 1, 8), 0, 1);
    queued(TestData.job("wk-2", waits, waitsClass, 1, 8), 2);
    for (double probability : new double[] {0, 1}) {
      SchedulingPlan plan = run(probability);
      assertEquals(stops, !plan.preemptions().isEmpty());
      assertEquals(0, plan.placements().size(), "nothing starts before the room is free");
      if (stops) {
        return;
      }
    }
  }

  /**
   * Higher class in one cycle, and the lower one neither placed in its way nor started to be
   * stopped.
   */
  @Test
  void doesNotTakeTurns() {
    team("F", 0, 0);
    team("H", 0, 0);
    MachineView one = host("one", "a", false, 8);
    JobSpec low = TestData.job("wk-1", "F", Priority.STANDARD, 1, 8);
    one.add(new PlacedTask(new TaskId("wk-1", 0), low, true, NOW));
    queued(TestData.job("wk-3", "F", Priority.STANDARD, 1, 8), 1);
    teams
        .get("H")
        .use(TestData.job("wk-8", "H", Priority.URGENT, 1, 4), SchedulingSettings.DEFAULTS);
    queued(TestData.job("wk-2", "H", Priority.URGENT, 1, 8), 2);
    SchedulingPlan plan = run(0);
    assertTrue(plan.placements().isEmpty() && plan.preemptions().isEmpty());
    assertEquals(List.of("wk-3"), plan.unplaced().stream().map(u -> u.job().id()).toList());
  }

  /**
   * An evicted task is on its machine until it has been stopped, so it counts against the limit of
   * its team: the team's waiting urgent task must not start elsewhere on the strength of an
   * eviction that is only in memory.
   */
  @Test
  void evictedTasksCountAgainstTheLimit() {
    team("F", 0, 16);
    team("G", 8, 0);
    running(host("one", "a", false, 16), TestData.job("wk-1", "F", Priority.STANDARD, 2, 8), 0, 2);
    host("two", "a", false, 8);
    queued(TestData.job("wk-2", "F", Priority.URGENT, 1, 8), 1);
    queued(
        new JobSpec(
            "wk-3",
            "class",
            "G",
            Priority.STANDARD,
            1,
            8,
            0,
            1,
            "image",
            1,
            null,
            "b",
            false,
            false,
            true,
            30,
            0,
            0,
            100),
        2);
    assertEquals(List.of(), run(1).placements());
  }

  @Test
  void packsTheOwnMachineThenSharedThenEmpty() {
    team("F", 0, 0);
    team("H", 0, 0);
    MachineView own = host("own", "a", false, 8);
    MachineView shared = host("shared", "a", false, 8);
    host("empty", "a", false, 8);
    running(own, TestData.job("wk-1", "F", Priority.STANDARD, 1, 4), 0, 1);
    running(shared, TestData.job("wk-2", "H", Priority.STANDARD, 1, 4), 0, 1);
    queued(TestData.job("wk-3", "F", Priority.STANDARD, 3, 4), 1);
    assertEquals(
        List.of("own", "shared", "empty"),
        run(0).placements().stream().map(SchedulingPlan.Placement::machine).toList());
  }

  /** Constraints of a job of 4 tasks, and how many of them two zones with room for all can take. */
  @ParameterizedTest
  @CsvSource({
    "false, false, , true, 0, 4",
    "true, false, , true, 0, 4",
    "false, true, , true, 0, 4",
    "false, false, b, true, 0, 4",
    "false, false, c, true, 0, 0",
    "false, false, , false, 0, 2",
    "false, false, , true, 6, 2",
    "false, false, , true, 1, 0"
  })
  void keepsConstraints(
      boolean oneZone, boolean spread, String zone, boolean spot, double limit, int expected) {
    team("F", 0, limit);
    host("a", "a", true, 16);
    host("b", "b", true, 16);
    host("c", "a", false, 6);
    JobSpec job =
        new JobSpec(
            "wk-1",
            "class",
            "F",
            Priority.STANDARD,
            4,
            3,
            0,
            1,
            "image",
            1,
            null,
            zone,
            oneZone,
            spread,
            spot,
            30,
            0,
            0,
            100);
    queued(job, 1);
    SchedulingPlan plan = run(0);
    assertEquals(expected, plan.placements().size());
    Map<String, Integer> perZone = new HashMap<>();
    plan.placements()
        .forEach(p -> perZone.merge(p.machine().equals("b") ? "b" : "a", 1, Integer::sum));
    if (oneZone) {
      assertEquals(1, perZone.size());
    }
    if (spread) {
      assertTrue(perZone.values().stream().allMatch(n -> n <= 2));
    }
  }

  /** Other tasks of the job that are placed already decide where the rest may go. */
  @Test
  void countsTheJobsOtherTasks() {
    team("F", 0, 0);
    host("a", "a", false, 16);
    host("b", "b", false, 16);
    JobSpec job =
        new JobSpec(
            "wk-1",
            "class",
            "F",
            Priority.STANDARD,
            9,
            1,
            0,
            1,
            "image",
            1,
            null,
            null,
            false,
            true,
            true,
            30,
            0,
            0,
            100);
    jobs.add(new PendingJob(job, 1, BitSet.valueOf(new long[] {0b1_1110_0000}), Map.of("a", 5)));
    assertTrue(run(0).placements().stream().allMatch(p -> p.machine().equals("b")));
  }

  @Test
  void avoidsMachinesWithATraceOfTheTask() {
    team("F", 0, 0);
    host("a", "a", false, 16, new TaskId("wk-1", 0));
    queued(TestData.job("wk-1", "F", Priority.STANDARD, 2, 1), 1);
    assertEquals(
        List.of(), run(0).placements().stream().filter(p -> p.task().index() == 0).toList());
  }

  /**
   * A large standard job that has waited for very long beside a queue of urgent ones, a machine of
   * 8 CPUs on which some are free: what the cycle places. It gets one task, or else the room is
   * kept until it is large enough.
   */
  @ParameterizedTest
  @CsvSource({
    "false, 8, urgent urgent",
    "true, 8, standard",
    "false, 4, urgent",
    "true, 4, ''",
    "true, 16, standard urgent urgent"
  })
  void nobodyStarves(boolean overdue, double free, String placed) {
    team("F", 0, 0);
    team("H", 0, 0);
    MachineView host = host("one", "a", false, Math.max(8, free));
    if (free < 8) {
      running(host, TestData.job("wk-9", "H", Priority.URGENT, 1, 8 - free), 0, 1);
    }
    queued(TestData.job("wk-1", "F", Priority.STANDARD, 20, 8), 1);
    queued(TestData.job("wk-2", "H", Priority.URGENT, 2, 4), 2);
    if (overdue) {
      jobs.set(0, jobs.get(0).overdue());
    }
    assertEquals(
        placed,
        run(0).placements().stream()
            .map(p -> p.task().job().equals("wk-1") ? "standard" : "urgent")
            .collect(Collectors.joining(" ")));
  }

  /** What makes the cycle fast must not change what it decides. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
  void decidesAsIfItLookedAtEveryMachineForEveryTask(int seed) {
    for (int round = 0; round < 40; round++) {
      Random random = new Random(seed * 1000 + round);
      boolean evict = random.nextBoolean();
      SchedulingSettings tuning = new SchedulingSettings(5, evict ? 0.5 : 0, 1, 0);
      long view = random.nextLong();
      randomView(new Random(view));
      SchedulingPlan plain =
          ReferenceCycle.run(hosts, jobs, teams, tuning, evict, new Random(round), NOW);
      randomView(new Random(view));
      assertEquals(
          plain, SchedulingCycle.run(hosts, jobs, teams, tuning, evict, new Random(round), NOW));
    }
  }

  private void randomView(Random random) {
    hosts.clear();
    jobs.clear();
    teams.clear();
    team("F", 0, 0);
    team("G", random.nextInt(40), 0);
    team("H", random.nextInt(40), 40 + random.nextInt(60));
    for (int i = 0; i < 12; i++) {
      MachineView host =
          host(
              "host-" + i,
              random.nextBoolean() ? "a" : "b",
              random.nextBoolean(),
              random.nextBoolean() ? 4 : 16,
              new TaskId("wk-" + (100 + random.nextInt(12)), 0));
      double free = host.free.cpus;
      for (int t = 0; t < 4; t++) {
        JobSpec job = randomJob("wk-" + (i * 4 + t), random);
        if (job.cpus() <= free && random.nextInt(4) > 0) {
          free -= job.cpus();
          host.add(
              new PlacedTask(
                  new TaskId(job.id(), 0), job, random.nextInt(5) == 0, NOW - random.nextInt(60)));
          teams.get(job.team()).use(job, SchedulingSettings.DEFAULTS);
        }
      }
    }
    for (int j = 0; j < 12; j++) {
      queued(randomJob("wk-" + (100 + j), random), j);
    }
  }

  private static JobSpec randomJob(String id, Random random) {
    return new JobSpec(
        id,
        "class",
        List.of("F", "G", "H").get(random.nextInt(3)),
        List.of(Priority.STANDARD, Priority.URGENT).get(random.nextInt(2)),
        1 + random.nextInt(8),
        List.of(1, 2, 4, 8).get(random.nextInt(4)),
        0,
        1,
        "image",
        1,
        null,
        random.nextInt(6) == 0 ? "a" : null,
        random.nextInt(6) == 0,
        random.nextInt(6) == 0,
        random.nextInt(4) > 0,
        30,
        random.nextInt(2) * 10,
        3,
        100);
  }
}
