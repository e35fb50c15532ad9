package org.saffronshore;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.saffronshore.config.Settings;
import org.saffronshore.wire.Heartbeat;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Json;
import org.saffronshore.wire.MachineType;
import org.saffronshore.wire.Priority;
import org.saffronshore.wire.TaskId;

/** Sample data shared by the tests. */
public final class TestData {
  public static final double LEASE_S = 20;
  public static final double LIST_LAG_S = 4;

  private TestData() {}

  /** Returns a settings file for three controllers, as a tree that the test may modify. */
  public static ObjectNode settingsJson() {
    return (ObjectNode)
        Json.parse(
            ("{'node':'n-0','area':'a','serve_on':'10.0.0.1:8080','peer_bind':'10.0.0.1:8081',"
                    + "'peers':[{'node':'n-1','area':'a','addr':'10.0.0.2:8081'},{'node':'n-2','area':'b','addr':'10.0.0.3:8081'}],"
                    + "'services':{'cloud':'10.2.0.2:1','state':'10.2.0.1:2'},'unheard_of':1,"
                    + "'cluster':{'zones':['a','b'],'teams':[{'name':'red','cpus':32,'cpus_max':64},"
                    + "{'name':'blue','cpus':32},{'name':'free'}],"
                    + "'workers':{'report_s':3,'lease_s':20,'cancel_s':40},'state':{'rps':300,'write_rps':300,'value_kb':16,"
                    + "'txn_ops':8},'cloud':{'rps':4,'list_lag_s':4},'limits':{'core_share':0.3,'memory_mb':200,"
                    + "'sockets':1000}}}")
                .replace('\'', '"')
                .getBytes(UTF_8));
  }

  /** Returns the settings parsed from {@link #settingsJson}. */
  public static Settings settings() {
    try {
      return Settings.parse(settingsJson());
    } catch (InvalidFieldException e) {
      throw new AssertionError(e);
    }
  }

  /** Returns a job without dependencies and without placement constraints. */
  public static JobSpec job(String id, String team, Priority priority, int tasks, double cpus) {
    return JobBuilder.job(id, team, priority).tasks(tasks).cpus(cpus).build();
  }

  public static final Map<String, MachineType> MACHINE_TYPES =
      Map.of("big", new MachineType("big", 32, 0, 256, 50, 1, 2, 1, 40, List.of("a", "b")));

  /** Returns a heartbeat of a spot machine of type big in zone a, without a preemption notice. */
  public static Heartbeat heartbeat(
      String machine, long epoch, long sequence, long fencingToken, Heartbeat.TaskStatus... tasks) {
    return new Heartbeat(
        machine,
        "10.1.0.1:9000",
        "big",
        "a",
        true,
        epoch,
        sequence,
        fencingToken,
        null,
        List.of(tasks));
  }

  public static Heartbeat.TaskStatus taskStatus(
      String job,
      int index,
      long attempt,
      Heartbeat.TaskState state,
      Heartbeat.ExitReason exitReason) {
    return new Heartbeat.TaskStatus(new TaskId(job, index), attempt, state, exitReason);
  }
}
