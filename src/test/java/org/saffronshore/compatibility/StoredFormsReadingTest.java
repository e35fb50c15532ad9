package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.params.provider.Arguments.arguments;
import static org.saffronshore.compatibility.SimulatedCluster.json;
import static org.saffronshore.compatibility.SimulatedCluster.openJob;

import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** A new leader continues from the jobs and machines that are stored. */
class StoredFormsReadingTest {
  private static final String HOST_9_MAY_HOLD_ANY_TASK = "{'host-9':{'At':999000}}";

  private final SimulatedCluster cluster = new SimulatedCluster();

  private void assertStartedTasks(String taskNumbersOfWk1) {
    Set<String> expected = new TreeSet<>();
    for (String number : taskNumbersOfWk1.split(" ", -1)) {
      if (!number.isEmpty()) {
        expected.add("wk-1/" + number);
      }
    }
    assertEquals(expected, new TreeSet<>(cluster.startedTasks));
    assertEquals(
        expected.size(),
        cluster.startedTasks.size(),
        "started tasks, each expected once: " + cluster.startedTasks);
  }

  /** Starts a leader and a machine with room for four tasks that sends heartbeats to it. */
  private SimulatedWorker startLeaderWithMachine(String... stored) {
    ControllerUnderTest controller = cluster.startLeader(stored);
    SimulatedWorker worker = cluster.addMachine("host-1", "a");
    worker.startHeartbeatsTo(controller);
    cluster.loop.advance(3);
    return worker;
  }

  // Finished tasks

  static Stream<Arguments> finishedTasksCases() {
    String firstChunk = "{'wk-1/0':'" + StoredFormsTest.FULLY_FINISHED_CHUNK;
    return Stream.of(
        arguments("no finished tasks", 4, new String[] {}, "0 1 2 3"),
        arguments("two finished tasks", 4, new String[] {"p/0", "{'wk-1/0':'Aw=='}"}, "2 3"),
        arguments(
            "finished tasks of another job",
            4,
            new String[] {"p/0", "{'wk-2/0':'Aw=='}"},
            "0 1 2 3"),
        arguments(
            "two pages",
            4,
            new String[] {"p/0", "{'wk-1/0':'AQ=='}", "p/1", "{'wk-1/0':'Ag=='}"},
            "2 3"),
        arguments(
            "key without a page number", 4, new String[] {"p/x", "{'wk-1/0':'Aw=='}"}, "0 1 2 3"),
        arguments("bits that are not Base64", 4, new String[] {"p/0", "{'wk-1/0':'%'}"}, "0 1 2 3"),
        arguments(
            "second chunk of the standard length",
            32_771,
            new String[] {"p/0", firstChunk + "','wk-1/1':'AQ=='}"},
            "32769 32770"),
        arguments(
            "short chunk", 4, new String[] {"q/0", "{'wk-1/0':{'Bits':'Aw==','Piece':8}}"}, "2 3"),
        arguments(
            "second short chunk",
            4,
            new String[] {"q/0", "{'wk-1/1':{'Bits':'AQ==','Piece':2}}"},
            "0 1 3"),
        arguments(
            "short chunk without its length",
            4,
            new String[] {"q/0", "{'wk-1/0':{'Bits':'Aw=='}}"},
            "2 3"),
        arguments(
            "short chunk and chunk of the standard length",
            4,
            new String[] {
              "p/0", "{'wk-1/0':'AQ=='}", "q/0", "{'wk-1/0':{'Bits':'CA==','Piece':8}}"
            },
            "1 2"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("finishedTasksCases")
  void finishedTasksAreNotStartedAgain(
      String name, int tasks, String[] stored, String expectedTasks) {
    cluster.put("j/wk-1", openJob("wk-1", tasks));
    startLeaderWithMachine(stored);
    assertStartedTasks(expectedTasks);
  }

  @Test
  void finishedTasksAreCountedInJobStatus() {
    cluster.put("j/wk-1", openJob("wk-1", 6));
    ControllerUnderTest controller = cluster.startLeader("p/0", "{'wk-1/0':'FQ=='}");
    assertEquals(
        json("200 {'Uid':'wk-1','Status':'pending','done':3,'running':0}"),
        controller.request("GET", "/work/wk-1", ""));
  }

  /** All tasks of the job are finished, but no outcome of the job is stored yet. */
  @Test
  void openJobWhoseTasksAreAllFinishedIsReportedAsDone() {
    ControllerUnderTest controller =
        cluster.startLeader("j/wk-1", openJob("wk-1", 2), "p/0", "{'wk-1/0':'Aw=='}");
    cluster.loop.advance(1);
    assertEquals(
        json("200 {'Uid':'wk-1','Status':'done'}"), controller.request("GET", "/work/wk-1", ""));
  }

  // Launch watermarks and registered machines

  /**
   * A registered machine that may hold any task is silent. Until its lease expires, 20 s after the
   * term began, tasks below the launch watermark may run on it.
   */
  @ParameterizedTest(name = "{0} {1}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "{} | {} | 0 1 2 3",
        "{'wk-1':0} | {} | 0 1 2 3",
        "{'wk-2':4} | {} | 0 1 2 3",
        "{'wk-1':2} | {} | 2 3",
        "{'wk-1':4} | {} | ''",
        "{'wk-1':1} | {'wk-1':3} | 3",
        "{'wk-1':'2'} | {} | ''"
      })
  void tasksBelowLaunchWatermarkWaitForSilentMachineThatMayHoldAnyTask(
      String firstPage, String secondPage, String expectedTasks) {
    cluster.put(
        "j/wk-1",
        openJob("wk-1", 4),
        "b/0",
        firstPage,
        "b/1",
        secondPage,
        "r/0",
        HOST_9_MAY_HOLD_ANY_TASK);
    cluster.addMachine("host-9", "b").silent = true;
    startLeaderWithMachine();
    assertStartedTasks(expectedTasks.replace("'", ""));
    cluster.loop.advance(20);
    assertStartedTasks("0 1 2 3");
  }

  @ParameterizedTest(name = "{0} {1}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "{} | {} | 0 1 2 3",
        "{'host-9':{'At':999000}} | {} | ''",
        "{'host-9':{'At':999000,'Held':['wk-1/1']}} | {} | 0 2 3",
        "{'host-9':{'At':999000,'Held':['wk-1/1','wk-2/0']}} | {} | 0 2 3",
        "{'host-9':{'At':999000,'Held':['wk-1/1']}} | {'host-8':{'At':1,'Held':['wk-1/3']}} | 0 2",
        "{'host-9':{'At':999000,'Held':[]}} | {} | 0 1 2 3",
        "{'host-9':{'At':999000,'Held':['nonsense']}} | {} | ''",
        "{'host-9':{'At':9,'Held':['wk-1/1']}} | {'host-9':{'At':9,'Held':['wk-1/1']}} | ''"
      })
  void possibleTasksOfSilentRegisteredMachineWaitUntilItsLeaseExpires(
      String firstPage, String secondPage, String expectedTasks) {
    cluster.put(
        "j/wk-1", openJob("wk-1", 4), "b/0", "{'wk-1':4}", "r/0", firstPage, "r/1", secondPage);
    cluster.addMachine("host-9", "b").silent = true;
    cluster.addMachine("host-8", "b").silent = true;
    startLeaderWithMachine();
    assertStartedTasks(expectedTasks.replace("'", ""));
    cluster.loop.advance(20);
    assertStartedTasks("0 1 2 3");
  }

  /**
   * The leader sends an empty batch of commands to each registered machine, at the address in the
   * cloud's list. The response tells which tasks the machine holds.
   */
  @Test
  void registeredMachineThatRespondsBlocksNoTasks() {
    cluster.put("j/wk-1", openJob("wk-1", 4), "b/0", "{'wk-1':4}", "r/0", HOST_9_MAY_HOLD_ANY_TASK);
    cluster.addMachine("host-9", "b");
    startLeaderWithMachine();
    assertStartedTasks("0 1 2 3");
  }

  /**
   * A machine that is missing from the cloud's list counts as removed only if it was registered
   * long enough ago to be in the list, because the list may lag behind.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "{'host-9':{'At':900000}} | 0 1 2 3",
        "{'host-9':{'At':999000}} | ''",
        "{'host-9':{}} | ''"
      })
  void unlistedRegisteredMachineCountsAsRemovedOnlyIfRegisteredLongAgo(
      String firstPage, String expectedTasks) {
    cluster.put("j/wk-1", openJob("wk-1", 4), "b/0", "{'wk-1':4}", "r/0", firstPage);
    startLeaderWithMachine();
    cluster.loop.advance(3);
    assertStartedTasks(expectedTasks.replace("'", ""));
  }

  // Jobs

  /** The only machine is a spot machine of type big in zone a. */
  @ParameterizedTest(name = "{0} {1}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "'Legs':4 | 'Legs':3 | 0 1 2",
        "'Cores':2.0 | 'Cores':4 | 0 1",
        "'RamGb':1.0 | 'RamGb':32.0 | 0 1",
        "'Accelerators':0.0 | 'Accelerators':1.0 | ''",
        "'Crew':'red' | 'Crew':'nobody' | ''",
        "'Spread':false | 'Spread':true | 0 1",
        "'Loaner':true | 'Loaner':false | ''",
        "'StashS':0.0 | 'StashS':0.0,'Depot':'a' | 0 1 2 3",
        "'StashS':0.0 | 'StashS':0.0,'Depot':'b' | ''",
        "'StashS':0.0 | 'StashS':0.0,'Rigs':['big'] | 0 1 2 3",
        "'StashS':0.0 | 'StashS':0.0,'Rigs':['gpu'] | ''",
        "'StashS':0.0 | 'StashS':0.0,'CutoffS':9.0 | 0 1 2 3",
        "'StashS':0.0 | 'StashS':0.0,'Awaits':['wk-7'] | 0 1 2 3",
        "'StashS':0.0 | 'StashS':0.0,'Awaits':['wk-8'] | ''",
        "'StashS':0.0 | 'StashS':0.0,'Awaits':['wk-9'] | ''",
        "'At':999000, | '' | 0 1 2 3",
        "'Shape':'array' | 'Shape':'other' | ''"
      })
  void openJobStartsOnlyTasksThatItsFieldsAllow(String from, String to, String expectedTasks) {
    String job = openJob("wk-1", 4);
    String changed = job.replace(json(from), to.equals("''") ? "" : json(to));
    startLeaderWithMachine(
        "f/wk-7",
        "{'State':'done','At':1}",
        "f/wk-8",
        "{'State':'aborted','At':1}",
        "j/wk-9",
        openJob("wk-9", 1, ",'Depot':'b'"),
        "j/wk-1",
        changed);
    cluster.loop.advance(2);
    assertStartedTasks(expectedTasks.replace("'", ""));
  }

  /**
   * The machine has room for one task, and no task of wk-2 has been started. The idle job wk-2 is
   * overdue if it has waited long since its submission and since the outcome of its dependency.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "'At':800000, | {'State':'done','At':800000} | wk-2/0",
        "'At':800000, | {'State':'done','At':999000} | wk-3/0",
        "'At':800000, | {'State':'done'} | wk-3/0",
        "'At':999000, | {'State':'done','At':800000} | wk-3/0"
      })
  void idleJobStartsBeforeUrgentJobOnlyWhenOverdue(
      String submittedAt, String outcome, String expectedFirstTask) {
    String idleJob =
        openJob("wk-2", 1, ",'Awaits':['wk-1']").replace(json("'At':999000,"), json(submittedAt));
    cluster.put(
        "f/wk-1", outcome, "j/wk-2", usingWholeMachine(idleJob).replace("standard", "idle"));
    cluster.put("j/wk-3", usingWholeMachine(openJob("wk-3", 1)).replace("standard", "urgent"));
    ControllerUnderTest controller = cluster.startLeader();
    cluster.loop.advance(2);
    cluster.addMachine("host-1", "a").startHeartbeatsTo(controller);
    cluster.loop.advance(2);
    assertEquals(expectedFirstTask, cluster.startedTasks.get(0));
  }

  private static String usingWholeMachine(String job) {
    return job.replace(json("'Cores':2.0"), json("'Cores':8.0"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "{'State':'done','At':1053050} | 200 {'Uid':'wk-1','Status':'done'}",
        "{'State':'done'} | 200 {'Uid':'wk-1','Status':'done'}",
        "{'State':'aborted','At':1030051} | 200 {'Uid':'wk-1','Status':'aborted'}",
        "{'State':'aborted'} | 200 {'Uid':'wk-1','Status':'aborted'}",
        "{'State':'other'} | 503 {'error':'job status unknown: no valid response from the state service'}"
      })
  void storedOutcomeDeterminesJobStatusResponse(String outcome, String response) {
    assertEquals(
        json(response), cluster.startFollower("f/wk-1", outcome).request("GET", "/work/wk-1", ""));
  }

  @ParameterizedTest
  @CsvSource({"done, pending", "aborted, aborted"})
  void outcomeOfIndirectDependencyDeterminesJobStatus(String outcome, String status) {
    ControllerUnderTest controller =
        cluster.startFollower(
            "f/wk-1",
            "{'State':'" + outcome + "'}",
            "j/wk-2",
            openJob("wk-2", 1, ",'Awaits':['wk-1']"),
            "j/wk-3",
            openJob("wk-3", 1, ",'Awaits':['wk-2']"));
    String response = controller.request("GET", "/work/wk-3", "");
    assertEquals(status, SimulatedCluster.parse(response.substring(4)).get("Status").asText());
  }
}
