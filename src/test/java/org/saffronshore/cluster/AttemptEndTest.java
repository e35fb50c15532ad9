package org.saffronshore.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.saffronshore.Samples.report;
import static org.saffronshore.Samples.task;

import java.util.BitSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.saffronshore.Samples;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.Priority;
import org.saffronshore.wire.Report.State;
import org.saffronshore.wire.Report.Why;

/**
 * Each way in which an attempt ends, so that its task may be placed again, and bad machines and
 * jobs.
 */
class AttemptEndTest extends ClusterTestBase {
  @Test
  void aSilentMachineHoldsItsTasksForItsLease() {
    job(101);
    Machine m = up("host-1");
    CommandBatch call = launch(m);
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
    CommandBatch call = launch(m);
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
    CommandBatch call = launch(m);
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
    CommandBatch call = launch(m);
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
    assertEquals(2, cluster.views().pending(true).size(), "the jobs are not to blame");

    for (int i = 2; i < 5; i++) {
      up("host-" + i);
      cluster.reported(
          report("host-" + i, 1, 200, TERM, task("wk-1", 0, 7 + i, State.RUNNING, Why.NONE)));
      cluster.reported(
          report("host-" + i, 1, 201, TERM, task("wk-1", 0, 7 + i, State.EXITED, Why.ERROR)));
    }
    assertEquals(
        List.of("wk-0"), cluster.views().pending(true).stream().map(p -> p.job.id()).toList());
    assertFalse(cluster.machine("host-4").distrusted());
  }
}
