package org.saffronshore.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.saffronshore.Samples.report;
import static org.saffronshore.Samples.task;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.saffronshore.ManualLoop;
import org.saffronshore.Samples;
import org.saffronshore.scheduling.Cycle;
import org.saffronshore.scheduling.Plan;
import org.saffronshore.scheduling.SchedulingSettings;
import org.saffronshore.scheduling.Team;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Priority;
import org.saffronshore.wire.Report;
import org.saffronshore.wire.Report.State;
import org.saffronshore.wire.Report.Why;
import org.saffronshore.wire.TaskId;

/** Each way in which a task may or may not be placed again. */
class ClusterTest {
  private static final long TERM = 5;
  private static final long KEY = 100;
  private static final TaskId TASK = new TaskId("wk-1", 0);
  private final ManualLoop loop = new ManualLoop();
  private final Cluster cluster = new Cluster(loop, Samples.settings(), TERM, KEY);
  private long seq;

  @BeforeEach
  void types() {
    cluster.types(Samples.TYPES);
  }

  private void job(long version) {
    cluster.addJob(
        Samples.job("wk-1", "red", Priority.STANDARD, 1, 4),
        version,
        0,
        new BitSet(),
        Integer.MAX_VALUE);
  }

  private Machine up(String id) {
    Machine m = cluster.reported(report(id, 1, ++seq, TERM));
    cluster.registry().entered(List.of(m));
    return m;
  }

  private boolean placeable() {
    return !cluster.pending(true).isEmpty();
  }

  private Cluster.CommandBatch launch(Machine m) {
    cluster.place(TASK, m.id());
    return cluster.call(m);
  }

  private Map<String, Team> teams() {
    return cluster.teams(SchedulingSettings.START, Map.of());
  }

  private Plan plan(Map<String, Team> teams) {
    return Cycle.run(
        cluster.hosts(),
        cluster.pending(true),
        teams,
        SchedulingSettings.START,
        false,
        new Random(1),
        loop.now());
  }

  /** Which tasks a plan places, by their index. */
  private static String placed(Plan plan) {
    return plan.placements().stream()
        .map(p -> "" + p.task().index())
        .collect(Collectors.joining(" "));
  }

  private static List<Command.Op> ops(List<Command> commands) {
    return commands.stream().map(Command::op).toList();
  }

  // After a change of leader

  @ParameterizedTest
  @CsvSource({"99, false", "101, true"})
  void onlyJobsOfThisTermNeedNotWaitForUnheardMachines(long version, boolean placeable) {
    cluster.addRegistered("host-1", 0, null);
    job(version);
    assertEquals(placeable, placeable());
  }

  @Test
  void aMachineIsSettledOnceItKnowsTheToken() {
    cluster.addRegistered("host-1", 0, null);
    job(1);
    cluster.reported(report("host-1", 1, 1, TERM - 1));
    assertFalse(placeable(), "an order of the last leader may still arrive there");
    assertNotNull(cluster.call(cluster.machine("host-1")), "it is told the token at once");
    cluster.reported(report("host-1", 1, 2, TERM));
    assertTrue(placeable());
  }

  /**
   * A new leader does not wait until every machine has found it: it asks those that the cloud's
   * list tells it of.
   */
  @Test
  void aMachineOfTheRosterIsAskedBeforeItReports() {
    cluster.addRegistered("host-1", 0, null);
    job(1);
    Machine m = cluster.machine("host-1");
    assertNull(cluster.call(m), "nobody knows where it is");
    cluster.listed("host-1", "10.1.0.1:9000", "big", "a", true, false, 90);
    assertEquals(m, cluster.nextMachineWithCommands());
    Cluster.CommandBatch guess = cluster.call(m);
    assertEquals(1, guess.session());
    assertTrue(guess.commands().isEmpty());
    cluster.called(guess, false, true, report("host-1", 3, ++seq, TERM - 1));
    assertFalse(placeable(), "an order of the last leader may still arrive there");
    Cluster.CommandBatch right = cluster.call(m);
    assertEquals(3, right.session());
    cluster.called(right, true, false, report("host-1", 3, ++seq, TERM));
    assertTrue(placeable());
    assertNull(cluster.call(m));
    loop.pass(Samples.LEASE_S + 1);
    cluster.expireLeases();
    assertFalse(m.up(), "asking renews no lease");
  }

  /**
   * Machines that cannot be found may hold anything that was launched: the last leader wrote down
   * how far that is, so what comes after it need not wait for them.
   */
  @ParameterizedTest
  @CsvSource({"0, 0 1 2", "2, 2", "3, ''"})
  void whatWasNeverLaunchedWaitsForNoMachine(int launchMark, String placeable) {
    cluster.addRegistered("host-1", 0, null);
    cluster.addJob(
        Samples.job("wk-1", "red", Priority.STANDARD, 3, 4), 1, 0, new BitSet(), launchMark);
    up("host-2");
    assertEquals(placeable, placed(plan(teams())));
  }

  /**
   * Were a task launched before that is written down, a next leader might take it for one that
   * never was.
   */
  @Test
  void nothingIsLaunchedThatIsNotWrittenDown() {
    cluster.addJob(
        Samples.job("wk-1", "red", Priority.STANDARD, 3, 4), KEY + 1, 0, new BitSet(), 0);
    Machine m = up("host-1");
    assertTrue(cluster.pending(false).isEmpty(), "it cannot be written down now");
    cluster.place(TASK, "host-1");
    cluster.retryCommands();
    assertNull(cluster.call(m));
    assertTrue(cluster.responseCommands(m).isEmpty());
    Job job = cluster.awaitingLaunchMark().iterator().next();
    assertEquals(1, job.wantedLaunchMark());
    cluster.launchMarkSaved(job, 1);
    assertTrue(cluster.awaitingLaunchMark().isEmpty());
    assertEquals(List.of(Command.Op.START), ops(cluster.call(m).commands()));
    cluster.place(new TaskId("wk-1", 1), "host-1");
    assertEquals(2, job.wantedLaunchMark());
    assertNull(cluster.call(m));
  }

  /**
   * Of a machine whose reports had stopped, the last leader wrote down what it held: only that must
   * wait for it.
   */
  @ParameterizedTest
  @CsvSource({"false, 0 1 2", "true, 1 2"})
  void onlyWhatWasWrittenDownWaitsForASilentMachine(boolean alsoHeld, String placeable) {
    cluster.addRegistered("host-1", 0, Set.of(TASK, new TaskId("wk-5", 1)));
    cluster.addJob(
        Samples.job(alsoHeld ? "wk-1" : "wk-2", "red", Priority.STANDARD, 3, 4),
        1,
        0,
        new BitSet(),
        Integer.MAX_VALUE);
    Machine m = up("host-2");
    cluster.registry().entered(List.of(m));
    Plan plan = plan(teams());
    assertEquals(placeable, placed(plan));
    cluster.addRegistered("host-3", 0, null);
    assertFalse(placeable(), "that one may hold anything");
  }

  /**
   * Once it is being written down, nothing may be added until that is taken back, and known to be.
   */
  @Test
  void aFrozenMachineGetsNothingUntilItsRecordIsTakenBack() {
    Machine m = up("host-1");
    job(101);
    loop.pass(5);
    cluster.registry().freezeSilent();
    assertEquals(List.of(m), cluster.registry().takeFrozenMachines());
    cluster.reported(report("host-1", 1, ++seq, TERM));
    assertFalse(m.usable(loop.now()));
    assertTrue(cluster.registry().due());
    assertEquals(List.of(m), cluster.registry().missing());
    cluster.registry().entered(List.of(m));
    assertTrue(m.usable(loop.now()));
    cluster.removed(m, "returned");
    assertTrue(cluster.registry().left().contains("host-1"));
  }

  @Test
  void anUnheardMachineIsWaitedOutForItsLease() {
    cluster.addRegistered("host-1", 0, null);
    job(1);
    loop.pass(Samples.LEASE_S);
    cluster.expireLeases();
    assertFalse(placeable(), "its clock may run slow");
    loop.pass(1);
    cluster.expireLeases();
    assertTrue(placeable());
  }

  /**
   * A machine that vanished between two leaders must not hold up every waiting job for the time of
   * a lease.
   */
  @ParameterizedTest
  @CsvSource({"0, false", "60, true"})
  void anOldMachineThatTheFirstListLacksIsGone(double age, boolean placeable) {
    cluster.addRegistered("host-1", age, null);
    job(1);
    cluster.listedOnly(Set.of(), loop.now());
    assertEquals(placeable, placeable());
  }

  @Test
  void adoptsWhatRuns() {
    cluster.addRegistered("host-1", 0, null);
    job(1);
    cluster.reported(report("host-1", 1, 1, TERM, task("wk-1", 0, 7, State.RUNNING, Why.NONE)));
    assertFalse(placeable());
    assertEquals(1, cluster.job("wk-1").running());
  }

  @Test
  void stopsWhatBelongsToNoOpenJob() {
    Machine m = up("host-1");
    cluster.reported(report("host-1", 1, 9, TERM, task("wk-7", 0, 7, State.RUNNING, Why.NONE)));
    assertEquals(List.of(Command.Op.STOP), ops(cluster.call(m).commands()));
  }

  @Test
  void countsWhatMayRunUnseenAgainstTheLimit() {
    cluster.addRegistered("host-1", 0, null);
    job(1);
    Map<String, Team> teams = teams();
    var more = Samples.job("wk-2", "red", Priority.STANDARD, 1, 62);
    cluster.addJob(more, KEY + 1, 0, new BitSet(), Integer.MAX_VALUE);
    Machine m = up("host-2");
    Plan plan = plan(teams);
    assertTrue(
        plan.placements().isEmpty() && plan.unmet().isEmpty(),
        "4 that may run and 62 are beyond 64");
    assertTrue(m.confirmed());
  }

  /**
   * Tasks of a job that was cancelled a moment before the leader changed may still run: on a
   * machine nobody finds, on one of which it is written down, or on one that shows them. Nobody
   * knows any more whose they are.
   */
  @ParameterizedTest
  @CsvSource({"unseen, 0", "written down, 0", "of an open job, 1", "shown, 0", "gone, 1"})
  void countsWhatMayRunOfCancelledJobs(String what, int placed) {
    Machine m = up("host-1");
    cluster.listed("host-2", null, "big", "a", true, false, 90);
    if (what.equals("unseen")) {
      cluster.addRegistered("host-2", 0, null);
    } else if (what.equals("shown")) {
      cluster.reported(report("host-2", 1, 9, TERM, task("wk-7", 0, 7, State.RUNNING, Why.NONE)));
    } else if (!what.equals("gone")) {
      cluster.addRegistered(
          "host-2", 0, Set.of(new TaskId(what.equals("written down") ? "wk-7" : "wk-8", 0)));
    }
    cluster.addJob(Samples.job("wk-8", "free", Priority.STANDARD, 1, 32), 1, 0, new BitSet(), 1);
    cluster.addJob(
        Samples.job("wk-2", "red", Priority.STANDARD, 1, 62 - 29), KEY + 1, 0, new BitSet(), 1);
    cluster.types(
        Map.of(
            "big",
            Samples.TYPES.get("big"),
            "huge",
            new org.saffronshore.wire.MachineType(
                "huge", 64, 0, 256, 50, 1, 2, 1, 40, List.of("a"))));
    cluster.listed("host-3", null, "huge", "a", true, false, 90);
    Machine huge =
        cluster.reported(
            new Report("host-3", "10.1.0.1:9000", "huge", "a", true, 1, 1, TERM, null, List.of()));
    cluster.registry().entered(List.of(m, huge));
    assertEquals(
        placed,
        plan(teams()).placements().stream().filter(p -> p.task().job().equals("wk-2")).count());
  }

  // Launches

  /** What became of the launch: executed, certainly not, or nobody knows. */
  @ParameterizedTest
  @CsvSource({"true, false, false", "false, true, true", "false, false, false"})
  void aLaunchThatMayArriveHoldsItsTask(boolean executed, boolean surelyNot, boolean placeable) {
    job(101);
    Machine m = up("host-1");
    Cluster.CommandBatch call = launch(m);
    assertEquals(List.of(Command.Op.START), ops(call.commands()));
    Report answer =
        executed
            ? report(
                "host-1",
                1,
                50,
                TERM,
                task("wk-1", 0, call.launches().get(0).number(), State.FETCHING, Why.NONE))
            : surelyNot ? report("host-1", 1, 50, TERM) : null;
    cluster.called(call, executed, surelyNot, answer);
    assertEquals(placeable, placeable());
    cluster.reported(
        report(
            "host-1",
            1,
            51,
            TERM,
            executed ? answer.tasks().toArray(new Report.Task[0]) : new Report.Task[0]));
    assertEquals(
        placeable,
        placeable(),
        "a report without the task proves nothing while the launch is on its way");
  }

  @Test
  void aNewerSessionEndsAnUnansweredLaunch() {
    job(101);
    Machine m = up("host-1");
    cluster.called(launch(m), false, false, null);
    cluster.reported(report("host-1", 2, 60, TERM));
    assertTrue(placeable());
  }

  /**
   * A lost launch is repeated with a stop behind it, so that the late copy finds an attempt that is
   * over.
   */
  @Test
  void aLostLaunchIsEndedByRepeatingIt() {
    job(101);
    Machine m = up("host-1");
    Cluster.CommandBatch call = launch(m);
    cluster.called(call, false, false, null);
    cluster.removeJob("wk-1");
    loop.pass(5);
    assertEquals(List.of(Command.Op.START, Command.Op.STOP), ops(cluster.responseCommands(m)));
  }

  @Test
  void anAttemptIsNotForgottenWhileItsLaunchMayArrive() {
    job(101);
    Machine m = up("host-1");
    Cluster.CommandBatch call = launch(m);
    cluster.called(call, false, false, null);
    Report.Task ended = task("wk-1", 0, call.launches().get(0).number(), State.EXITED, Why.ERROR);
    cluster.reported(report("host-1", 1, 50, TERM, ended));
    assertTrue(placeable(), "it is over there");
    assertFalse(ops(cluster.responseCommands(m)).contains(Command.Op.FORGET));
    assertTrue(m.barred(TASK), "and must go elsewhere");
  }

  /**
   * The one task with which a job gets going that had waited for very long is not stopped for a
   * higher class.
   */
  @ParameterizedTest
  @CsvSource({"false, 1", "true, 0"})
  void whatGotGoingAtLastIsNotStopped(boolean overdue, int stops) {
    Machine m = up("host-1");
    cluster.addJob(
        Samples.job("wk-1", "free", Priority.STANDARD, 1, 32),
        101,
        0,
        new BitSet(),
        Integer.MAX_VALUE);
    cluster.place(TASK, m.id(), overdue);
    cluster.addJob(
        Samples.job("wk-2", "free", Priority.URGENT, 1, 32),
        102,
        0,
        new BitSet(),
        Integer.MAX_VALUE);
    Plan plan = plan(teams());
    assertEquals(stops, plan.stops().size());
  }

  /** Tasks that are put on a machine that hangs are lost time, for as long as its lease. */
  @Test
  void aSilentMachineGetsNothingNew() {
    Machine m = up("host-1");
    job(101);
    loop.pass(3 * 2.2 + 0.1);
    assertEquals(0, cluster.hosts().size());
    cluster.place(TASK, m.id());
    assertTrue(placeable());
    up("host-1");
    assertEquals(1, cluster.hosts().size());
  }

  // What ends an attempt

  @Test
  void aSilentMachineHoldsItsTasksForItsLease() {
    job(101);
    Machine m = up("host-1");
    Cluster.CommandBatch call = launch(m);
    cluster.called(
        call,
        true,
        false,
        report(
            "host-1",
            1,
            50,
            TERM,
            task("wk-1", 0, call.launches().get(0).number(), State.RUNNING, Why.NONE)));
    loop.pass(Samples.LEASE_S);
    cluster.expireLeases();
    assertFalse(placeable());
    loop.pass(1);
    cluster.expireLeases();
    assertTrue(placeable());
    cluster.reported(
        report(
            "host-1",
            1,
            70,
            TERM,
            task("wk-1", 0, call.launches().get(0).number(), State.RUNNING, Why.NONE)));
    assertTrue(placeable(), "a late report of a session that is over changes nothing");
  }

  @Test
  void directAnswersRenewNoLease() {
    job(101);
    Machine m = up("host-1");
    Cluster.CommandBatch call = launch(m);
    loop.pass(Samples.LEASE_S - 1);
    cluster.called(
        call,
        true,
        false,
        report(
            "host-1",
            1,
            50,
            TERM,
            task("wk-1", 0, call.launches().get(0).number(), State.RUNNING, Why.NONE)));
    loop.pass(2);
    cluster.expireLeases();
    assertTrue(placeable());
  }

  @Test
  void olderReportsChangeNothing() {
    job(101);
    Machine m = up("host-1");
    Cluster.CommandBatch call = launch(m);
    long attempt = call.launches().get(0).number();
    cluster.called(
        call,
        true,
        false,
        report("host-1", 1, 50, TERM, task("wk-1", 0, attempt, State.RUNNING, Why.NONE)));
    cluster.reported(report("host-1", 1, 49, TERM));
    cluster.reported(report("host-1", 0, 99, TERM));
    assertFalse(placeable());
  }

  /** Known since, missing from a list that was asked for then: is it gone? */
  @ParameterizedTest
  @CsvSource({"1, false", "9, false", "15, true"})
  void aListProvesAbsenceOnlyWhenItIsNewEnough(double age, boolean removed) {
    job(101);
    Machine m = up("host-1");
    launch(m);
    loop.pass(age);
    cluster.listedOnly(Set.of(), loop.now());
    assertEquals(removed, cluster.machine("host-1") == null);
    assertEquals(removed, placeable());
    if (removed) {
      assertNull(
          cluster.reported(report("host-1", 1, 99, TERM)), "its late reports are not answered");
    }
  }

  @Test
  void aFailedMachineHoldsNothing() {
    job(101);
    Machine m = up("host-1");
    launch(m);
    cluster.listed("host-1", "10.1.0.1:9000", "big", "a", true, true, 50);
    assertTrue(placeable());
    assertFalse(m.usable(loop.now()));
  }

  @ParameterizedTest
  @EnumSource(
      value = Why.class,
      names = {"STOPPED", "ERROR", "NO_ROOM", "BUSY", "UNKNOWN", "DONE"})
  void onlyDoneIsDone(Why why) {
    job(101);
    Machine m = up("host-1");
    Cluster.CommandBatch call = launch(m);
    cluster.called(
        call,
        true,
        false,
        report(
            "host-1",
            1,
            50,
            TERM,
            task("wk-1", 0, call.launches().get(0).number(), State.EXITED, why)));
    assertEquals(why == Why.DONE, cluster.job("wk-1").complete());
    assertEquals(why != Why.DONE, placeable());
    assertEquals(
        why != Why.DONE,
        ops(cluster.responseCommands(m)).contains(Command.Op.FORGET),
        "a result is kept until the state service knows of it");
  }

  // Bad machines and bad jobs

  @Test
  void tellsABadMachineFromABadJob() {
    for (int i = 0; i < 2; i++) {
      cluster.addJob(
          Samples.job("wk-" + i, "red", Priority.STANDARD, 1, 4),
          KEY + 1,
          0,
          new BitSet(),
          Integer.MAX_VALUE);
    }
    Machine bad = up("host-1");
    for (int i = 0; i < Cluster.MAX_CONSECUTIVE_FAILURES; i++) {
      cluster.reported(
          report("host-1", 1, 100 + 2 * i, TERM, task("wk-" + i, 0, 7, State.RUNNING, Why.NONE)));
      cluster.reported(
          report("host-1", 1, 101 + 2 * i, TERM, task("wk-" + i, 0, 7, State.EXITED, Why.ERROR)));
    }
    assertTrue(bad.distrusted());
    assertEquals(2, cluster.pending(true).size(), "the jobs are not to blame");

    for (int i = 2; i < 5; i++) {
      up("host-" + i);
      cluster.reported(
          report("host-" + i, 1, 200, TERM, task("wk-1", 0, 7 + i, State.RUNNING, Why.NONE)));
      cluster.reported(
          report("host-" + i, 1, 201, TERM, task("wk-1", 0, 7 + i, State.EXITED, Why.ERROR)));
    }
    assertEquals(List.of("wk-0"), cluster.pending(true).stream().map(p -> p.job.id()).toList());
    assertFalse(cluster.machine("host-4").distrusted());
  }

  // Machines that go away

  /**
   * Saves or not, estimate of 30 s, seconds run before a notice of 14 s: is the task stopped for it
   * at once?
   */
  @ParameterizedTest
  @CsvSource({"true, 1, true", "true, 24, false", "false, 1, true", "false, 20, false"})
  void aNoticeStopsWhatCannotEndInTime(boolean saves, double ran, boolean stopped) {
    JobSpec job =
        new JobSpec(
            "wk-1",
            "class",
            "red",
            Priority.STANDARD,
            1,
            4,
            0,
            1,
            "image",
            1,
            null,
            null,
            false,
            false,
            true,
            30,
            saves ? 10 : 0,
            saves ? 2 : 0,
            Double.POSITIVE_INFINITY);
    cluster.addJob(job, 101, 0, new BitSet(), Integer.MAX_VALUE);
    Machine m = up("host-1");
    long attempt = launch(m).launches().get(0).number();
    Report.Task running = task("wk-1", 0, attempt, State.RUNNING, Why.NONE);
    cluster.reported(report("host-1", 1, 50, TERM, running));
    loop.pass(ran);
    cluster.reported(
        new Report(
            "host-1", "10.1.0.1:9000", "big", "a", true, 1, 51, TERM, 14.0, List.of(running)));
    assertEquals(stopped, m.attempts().iterator().next().stopping());
    assertFalse(m.usable(loop.now()));
  }

  @Test
  void onlyWhatSavesAndRanForAWhileIsMoved() {
    JobSpec job =
        new JobSpec(
            "wk-1",
            "class",
            "red",
            Priority.STANDARD,
            1,
            4,
            0,
            1,
            "image",
            1,
            null,
            null,
            false,
            false,
            true,
            300,
            10,
            2,
            Double.POSITIVE_INFINITY);
    cluster.addJob(job, 101, 0, new BitSet(), Integer.MAX_VALUE);
    Machine m = up("host-1");
    long attempt = launch(m).launches().get(0).number();
    cluster.reported(
        report("host-1", 1, 50, TERM, task("wk-1", 0, attempt, State.RUNNING, Why.NONE)));
    assertFalse(cluster.movable(m, 10));
    loop.pass(11);
    cluster.reported(
        report("host-1", 1, 51, TERM, task("wk-1", 0, attempt, State.RUNNING, Why.NONE)));
    assertTrue(cluster.movable(m, 10));
    cluster.empty(m);
    assertTrue(m.draining() && !m.usable(loop.now()));
    assertFalse(placeable(), "it is there until it has saved");
  }

  // A machine that hears nothing

  private Cluster.CommandBatch lostLaunch(Machine m) {
    Cluster.CommandBatch call = launch(m);
    cluster.called(call, false, false, null);
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
  void aMachineThatHearsNothingGetsNoWorkAndIsReturned(
      String what, boolean usable, boolean returned) {
    Machine m = up("host-1");
    job(101);
    long session = 1;
    if (what.startsWith("launch")) {
      Cluster.CommandBatch call = lostLaunch(m);
      if (what.endsWith("is seen")) {
        cluster.reported(
            report(
                "host-1",
                1,
                ++seq,
                TERM,
                task("wk-1", 0, call.launches().get(0).number(), State.RUNNING, Why.NONE)));
      }
    } else {
      session = 2;
      loop.pass(what.contains("silence") ? Samples.LEASE_S + 1 : 3);
    }
    for (int i = 0; i < 9; i++) {
      if (m.count() == 0 || !what.equals("launch is seen")) {
        cluster.reported(report("host-1", session, ++seq, TERM));
      } else {
        m.ownReportAt = loop.now();
      }
      cluster.unresponsiveMachines().detect();
      if (what.endsWith("is answered")) {
        cluster.called(
            new Cluster.CommandBatch(m, 2, List.of(), List.of()),
            true,
            false,
            report("host-1", 2, ++seq, TERM));
      }
      loop.pass(3);
    }
    assertEquals(usable, m.usable(loop.now()));
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
    Cluster.CommandBatch call = launch(other);
    cluster.called(call, false, false, null);
    loop.standStill(10);
    if (noticed) {
      cluster.stoodStill();
    }
    cluster.registry().freezeSilent();
    assertEquals(usable, m.usable(loop.now()));
    assertEquals(usable, cluster.registry().takeFrozenMachines().isEmpty());
    other.ownReportAt = loop.now();
    cluster.unresponsiveMachines().detect();
    assertEquals(!usable, other.unresponsive, "it had no chance to show that it heard the launch");
    loop.pass(Samples.LEASE_S - 9);
    cluster.expireLeases();
    assertEquals(0, other.count(), "what it was told counts from when it was told");
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
      cluster.reported(report("host-1", 1, ++seq, TERM - 1));
      cluster.unresponsiveMachines().detect();
      loop.pass(3);
    }
    cluster.reported(report("host-1", 2, ++seq, TERM - 1));
    assertFalse(
        placeable(), "an order of an earlier leader, which knew this session, may still arrive");
    assertTrue(cluster.unresponsiveMachines().isUnusable(cluster.machine("host-1")));
    cluster.removed(cluster.machine("host-1"), "returned");
    assertTrue(placeable());
  }

  /**
   * In the term that started it, the next session of a deaf machine is proof that the task is not
   * there.
   */
  @Test
  void theNextSessionFreesWhatADeafMachineHeld() {
    Machine m = up("host-1");
    job(101);
    lostLaunch(m);
    cluster.reported(report("host-1", 1, ++seq, TERM));
    assertFalse(placeable(), "the launch may yet arrive");
    cluster.reported(report("host-1", 2, ++seq, TERM));
    assertTrue(placeable());
    assertFalse(m.usable(loop.now()), "but not there");
  }

  /** When most machines seem deaf, it is this node that cannot be heard. */
  @Test
  void aLeaderThatNobodyHearsReturnsNothing() {
    List<Machine> all = new java.util.ArrayList<>();
    for (int i = 0; i < 10; i++) {
      all.add(up("host-" + i));
    }
    for (Machine m : all) {
      cluster.reported(report(m.id(), 2, ++seq, TERM));
    }
    loop.pass(7);
    assertTrue(all.stream().noneMatch(cluster.unresponsiveMachines()::isUnusable));
  }

  // Late copies of reports

  /**
   * A copy of a report, and what it must not do to a task that runs on host-1, session 2, of this
   * term.
   */
  @ParameterizedTest
  @CsvSource({"2, 5, EXITED", "2, 5, none", "1, 90, none", "1, 90, RUNNING", "2, 9, none"})
  void aLateCopyChangesNothing(long session, long tick, String shows) {
    cluster.reported(report("host-1", 2, 1, TERM));
    Machine m = cluster.machine("host-1");
    cluster.registry().entered(List.of(m));
    job(101);
    long attempt = launch(m).launches().get(0).number();
    Report.Task running = task("wk-1", 0, attempt, State.RUNNING, Why.NONE);
    cluster.reported(
        new Report(
            "host-1", "10.1.0.1:9000", "big", "a", true, 2, 9, TERM, 60.0, List.of(running)));
    Report copy =
        shows.equals("none")
            ? report("host-1", session, tick, TERM)
            : report(
                "host-1",
                session,
                tick,
                TERM,
                task("wk-1", 0, attempt, State.valueOf(shows), Why.ERROR));
    cluster.reported(copy);
    assertEquals(1, cluster.job("wk-1").running());
    assertFalse(placeable());
    assertEquals(2, m.session);
    assertTrue(m.noticed(), "a notice is not undone");
  }

  /** Copies hold what a lost machine had for a lease from its last true word, and no longer. */
  @Test
  void copiesDoNotHoldALostMachinesTasksWithoutEnd() {
    Machine m = up("host-1");
    job(101);
    long attempt = launch(m).launches().get(0).number();
    Report last = report("host-1", 1, 50, TERM, task("wk-1", 0, attempt, State.RUNNING, Why.NONE));
    cluster.reported(last);
    for (int i = 0; i < (int) Samples.LEASE_S; i++) {
      loop.pass(1);
      cluster.reported(last);
      cluster.expireLeases();
      assertFalse(placeable(), "its lease may run");
    }
    loop.pass(1);
    cluster.reported(last);
    cluster.expireLeases();
    assertTrue(placeable());
    cluster.reported(last);
    assertTrue(placeable(), "a copy over a lease old brings nothing back");
    assertFalse(m.usable(loop.now()));
    assertEquals(0, cluster.hosts().size());
  }

  /**
   * An original that is late may still be answered in time, and so renews the lease from when it
   * was sent.
   */
  @Test
  void aLateOriginalMayRenewTheLease() {
    Machine m = up("host-1");
    job(101);
    Cluster.CommandBatch call = launch(m);
    loop.pass(Samples.LEASE_S - 1);
    Report.Task running = task("wk-1", 0, call.launches().get(0).number(), State.RUNNING, Why.NONE);
    cluster.called(call, true, false, report("host-1", 1, 60, TERM, running));
    loop.pass(2);
    cluster.reported(report("host-1", 1, 59, TERM));
    cluster.expireLeases();
    assertFalse(placeable());
    loop.pass(Samples.LEASE_S + 1);
    cluster.expireLeases();
    assertTrue(placeable());
  }

  @Test
  void aCopyBringsNoReturnedMachineBack() {
    Machine m = up("host-1");
    cluster.removed(m, "returned");
    assertNull(cluster.reported(report("host-1", 1, 99, TERM)));
    assertNull(cluster.machine("host-1"));
  }

  /**
   * After a change of leader nothing newer is known: a copy of long ago must not pass for a machine
   * with room.
   */
  @Test
  void aCopyFromAnEarlierTermIsNoCapacity() {
    cluster.reported(report("host-1", 1, 99, TERM - 2));
    assertEquals(0, cluster.hosts().size());
    loop.pass(10);
    assertEquals(
        0, cluster.lines(1.6, true).size(), "nor is it counted on when machines are rented");
    cluster.listedOnly(Set.of(), loop.now() + 20);
    assertNull(cluster.machine("host-1"));
  }

  /**
   * A copy shows a task where it is not any more; the machine where it truly runs must not lose it.
   */
  @Test
  void aCopyDoesNotEndWhatTrulyRunsElsewhere() {
    cluster.addRegistered("host-1", 60, null);
    cluster.addRegistered("host-2", 60, null);
    job(1);
    Report.Task old = task("wk-1", 0, 7, State.RUNNING, Why.NONE);
    Report.Task now = task("wk-1", 0, 8, State.RUNNING, Why.NONE);
    cluster.reported(report("host-1", 1, 5, TERM - 1, old));
    cluster.reported(report("host-2", 1, 1, TERM, now));
    Machine second = cluster.machine("host-2");
    assertFalse(second.attempts().iterator().next().stopping());
    cluster.reported(report("host-1", 1, 90, TERM));
    assertFalse(placeable(), "it runs on host-2");
    assertEquals(1, cluster.job("wk-1").running());
  }

  /** What is in two places is stopped in one; and only when it is in neither may it start again. */
  @Test
  void aTaskInTwoPlacesWaitsForBoth() {
    cluster.addRegistered("host-1", 60, null);
    cluster.addRegistered("host-2", 60, null);
    job(1);
    cluster.reported(report("host-1", 1, 5, TERM, task("wk-1", 0, 7, State.RUNNING, Why.NONE)));
    cluster.reported(report("host-2", 1, 5, TERM, task("wk-1", 0, 8, State.RUNNING, Why.NONE)));
    Machine first = cluster.machine("host-1");
    Machine second = cluster.machine("host-2");
    assertEquals(
        1,
        List.of(first, second).stream()
            .filter(m -> m.attempts().iterator().next().stopping())
            .count());
    cluster.reported(report("host-1", 1, 6, TERM));
    assertFalse(placeable());
    cluster.reported(report("host-2", 1, 6, TERM));
    assertTrue(placeable());
  }

  // Where troubles meet

  /**
   * A machine that reaches no controller is asked by the new leader, and answers from a session
   * that began a moment ago, when the last one's lease was over. That session's lease is as long
   * again, whoever was last answered when.
   */
  @ParameterizedTest
  @CsvSource({"0.5, false", "1.1, true"})
  void aSessionFoundByACallHasAWholeLease(double leasesLater, boolean placeable) {
    cluster.addRegistered("host-1", 90, null);
    cluster.listed("host-1", "10.1.0.1:9000", "big", "a", true, false, 90);
    Machine m = cluster.machine("host-1");
    cluster.called(cluster.call(m), true, false, report("host-1", 1, ++seq, TERM));
    cluster.registry().entered(List.of(m));
    job(KEY + 1);
    loop.pass(Samples.LEASE_S * 0.7);
    cluster.answered(
        m, report("host-1", 2, ++seq, TERM, task("wk-1", 0, 7, State.RUNNING, Why.NONE)));
    assertFalse(placeable());
    loop.pass(Samples.LEASE_S * leasesLater);
    cluster.expireLeases();
    assertEquals(placeable, placeable());
  }

  /**
   * Answers to calls say nothing of whether a worker reaches us: what it is given would end with
   * its lease.
   */
  @Test
  void aMachineThatOnlyAnswersCallsGetsNoMoreWork() {
    Machine m = up("host-1");
    for (int i = 0; i < 6; i++) {
      loop.pass(Samples.settings().reportS() / 2);
      cluster.answered(m, report("host-1", 1, ++seq, TERM));
    }
    assertTrue(cluster.hosts().isEmpty());
    cluster.reported(report("host-1", 1, ++seq, TERM));
    assertEquals(1, cluster.hosts().size());
  }

  /**
   * A task on a machine that nobody has found yet is in a zone that nobody knows: the others cannot
   * choose theirs.
   */
  @ParameterizedTest
  @CsvSource({"false, false, true", "true, false, false", "false, true, false"})
  void aJobBoundToZonesWaitsForItsUnseenTasks(boolean oneZone, boolean spread, boolean placeable) {
    cluster.addRegistered("host-1", 90, null);
    up("host-2");
    JobSpec plain = Samples.job("wk-1", "red", Priority.STANDARD, 4, 4);
    cluster.addJob(
        new JobSpec(
            "wk-1",
            "class",
            "red",
            Priority.STANDARD,
            4,
            4,
            0,
            1,
            "image",
            1,
            null,
            null,
            oneZone,
            spread,
            true,
            30,
            0,
            0,
            plain.deadlineS()),
        1,
        0,
        new BitSet(),
        2);
    assertEquals(placeable, placeable(), "its last two tasks were never launched");
    loop.pass(Samples.LEASE_S * 1.1);
    up("host-2");
    cluster.expireLeases();
    assertTrue(placeable());
  }

  /**
   * While machines fail all they start, good jobs look bad. Once that is over they must not wait
   * for long.
   */
  @Test
  void noJobIsLeftAloneForLongerThanALease() {
    cluster.addJob(
        Samples.job("wk-1", "red", Priority.STANDARD, 40, 1),
        KEY + 1,
        0,
        new BitSet(),
        Integer.MAX_VALUE);
    for (int i = 0; i < 20; i++) {
      up("host-" + i);
      cluster.reported(
          report("host-" + i, 1, ++seq, TERM, task("wk-1", i, 7, State.RUNNING, Why.NONE)));
      cluster.reported(
          report("host-" + i, 1, ++seq, TERM, task("wk-1", i, 7, State.EXITED, Why.ERROR)));
    }
    assertFalse(placeable());
    loop.pass(Samples.LEASE_S + 0.1);
    assertTrue(placeable());
  }
}
