package org.saffronshore.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.saffronshore.FakeStateService;
import org.saffronshore.ManualEventLoop;
import org.saffronshore.TestData;
import org.saffronshore.config.Settings;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Priority;

/** Sets up the job stores of two controllers, which use the same state service. */
abstract class JobStoreTestBase {
  final ManualEventLoop loop = new ManualEventLoop();
  final FakeStateService service = new FakeStateService(loop);
  final JobStore store = newStore();
  final JobStore otherStore = newStore();

  /** The arguments of the callbacks, in the order of the calls. */
  final List<Object> results = new ArrayList<>();

  final JobStore newStore() {
    return newStore(TestData.settings().maxTransactionWrites());
  }

  /** Returns a store whose settings allow the given number of writes in a transaction. */
  final JobStore newStore(int maxTransactionWrites) {
    ObjectNode json = TestData.settingsJson();
    json.withObject("/cluster/state").put("txn_ops", maxTransactionWrites);
    try {
      Settings settings = Settings.parse(json);
      return new JobStore(loop, new StateClient(loop, service, settings), settings);
    } catch (InvalidFieldException e) {
      throw new AssertionError(e);
    }
  }

  /** Runs the event loop for five seconds, and returns and clears the results. */
  final List<Object> takeResults() {
    loop.advance(5);
    List<Object> taken = List.copyOf(results);
    results.clear();
    return taken;
  }

  final JobStatus lookUpStatus(JobStore queriedStore, int number) {
    queriedStore.lookUp("wk-" + number, results::add);
    return (JobStatus) takeResults().get(0);
  }

  static JobSpec job(int number) {
    return TestData.job("wk-" + number, "red", Priority.STANDARD, 2, 1);
  }

  /**
   * Returns a job with dependencies.
   *
   * @param dependencies job ids, separated by spaces
   */
  static JobSpec job(int number, String dependencies) {
    return job(number)
        .withDependencies(dependencies.isEmpty() ? List.of() : List.of(dependencies.split(" ")));
  }

  /**
   * Submits wk-1 to wk-4, each of which depends on the one before, and wk-5, which depends on wk-1
   * and wk-3.
   */
  final void submitChain() {
    for (JobSpec job :
        List.of(job(1), job(2, "wk-1"), job(3, "wk-2"), job(4, "wk-3"), job(5, "wk-1 wk-3"))) {
      store.submit(job, 0, results::add);
      assertEquals(List.of(SubmissionResult.ACCEPTED), takeResults());
    }
  }

  /** Replaces an open job's record by the outcome DONE, as the leader does. */
  final void complete(int number) {
    service.remove("j/wk-" + number);
    service.put("f/wk-" + number, new JobOutcome(JobStatus.DONE, 1).toJson());
  }
}
