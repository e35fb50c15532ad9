package org.saffronshore.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.wire.Json;

class JobDependenciesTest extends JobStoreTestBase {
  @ParameterizedTest
  @CsvSource({
    "wk-1, ACCEPTED",
    "wk-1 wk-2, ACCEPTED",
    "wk-7, ACCEPTED",
    "wk-8, ACCEPTED_UNVERIFIED",
    "wk-1 wk-8, ACCEPTED_UNVERIFIED",
    "wk-9, UNKNOWN_DEPENDENCY",
    "wk-1 wk-9, UNKNOWN_DEPENDENCY",
    "wk-8 wk-9, UNKNOWN_DEPENDENCY",
    "wk-6, UNKNOWN_DEPENDENCY"
  })
  void submissionIsRefusedUnlessAllDependenciesWereAccepted(
      String dependencies, SubmissionResult result) {
    store.submit(job(1), 0, results::add);
    store.submit(job(2), 0, results::add);
    store.submit(job(7), 0, results::add);
    store.submit(job(8), 0, results::add);
    takeResults();
    complete(7);
    store.cancel("wk-8", results::add);
    takeResults();
    otherStore.submit(job(6, dependencies), 0, results::add);
    assertEquals(List.of(result), takeResults());
  }

  /** The outcome must be read again; the job must not be mistaken for one never accepted. */
  @Test
  void submissionIsAcceptedWhenADependencyEndsMeanwhile() {
    store.submit(job(1), 0, results::add);
    takeResults();
    otherStore.submit(job(2, "wk-1"), 0, results::add);
    assertEquals(List.of(SubmissionResult.ACCEPTED), takeResults());
    complete(1);
    // The cache still has wk-1 as an open job.
    otherStore.submit(job(3, "wk-1"), 0, results::add);
    otherStore.submit(job(4), 0, results::add);
    assertEquals(List.of(SubmissionResult.ACCEPTED, SubmissionResult.ACCEPTED), takeResults());
  }

  @Test
  void submissionIsUnknownWhenADependencyCannotBeRead() {
    store.submit(job(1), 0, results::add);
    takeResults();
    service.unavailableFor = (method, path) -> true;
    otherStore.submit(job(2, "wk-1"), 0, results::add);
    assertEquals(List.of(SubmissionResult.UNKNOWN), takeResults());
  }

  /**
   * After a cancellation, every controller must immediately report exactly the jobs that depend on
   * the cancelled one as cancelled, whatever it has cached.
   */
  @ParameterizedTest
  @CsvSource({
    "1, CANCELLED CANCELLED CANCELLED CANCELLED CANCELLED",
    "2, OPEN CANCELLED CANCELLED CANCELLED CANCELLED",
    "4, OPEN OPEN OPEN CANCELLED OPEN",
    "5, OPEN OPEN OPEN OPEN CANCELLED"
  })
  void jobIsCancelledWhenADependencyIsCancelled(int cancelled, String statuses) {
    submitChain();
    for (int n = 1; n <= 5; n++) {
      assertEquals(JobStatus.OPEN, lookUpStatus(store, n));
    }
    otherStore.cancel("wk-" + cancelled, results::add);
    takeResults();
    for (JobStore each : List.of(store, otherStore, newStore())) {
      List<String> found = new ArrayList<>();
      for (int n = 1; n <= 5; n++) {
        found.add(lookUpStatus(each, n).name());
      }
      assertEquals(statuses, String.join(" ", found));
    }
    store.submit(job(6, "wk-" + cancelled), 0, results::add);
    assertEquals(
        List.of(SubmissionResult.ACCEPTED_UNVERIFIED),
        takeResults(),
        "a job with a cancelled dependency is accepted");
    assertEquals(JobStatus.CANCELLED, lookUpStatus(newStore(), 6));
  }

  @Test
  void jobStaysOpenWhenCancellationOfACompletedDependencyIsRequested() {
    submitChain();
    complete(1);
    store.cancel("wk-1", results::add);
    assertEquals(List.of(JobStatus.DONE), takeResults());
    for (int n = 2; n <= 5; n++) {
      assertEquals(JobStatus.OPEN, lookUpStatus(otherStore, n));
    }
  }

  /** Once the dependencies of a job are cached, one request checks whether all of them are open. */
  @Test
  void lookUpOfAJobWithKnownDependenciesTakesOneRequest() {
    submitChain();
    assertEquals(JobStatus.OPEN, lookUpStatus(otherStore, 5));
    int before = service.requestLog.size();
    assertEquals(JobStatus.OPEN, lookUpStatus(otherStore, 5));
    assertEquals(1, service.requestLog.size() - before, service.requestLog.toString());
    complete(1);
    assertEquals(JobStatus.OPEN, lookUpStatus(otherStore, 5));
  }

  /** A controller must not read jobs again that it accepted itself, however deep the chain is. */
  @Test
  void submissionOfAChainTakesOneRequestPerJob() {
    for (int n = 1; n <= 10; n++) {
      int before = service.requestLog.size();
      store.submit(n == 1 ? job(1) : job(n, "wk-" + (n - 1)), 0, results::add);
      assertEquals(List.of(SubmissionResult.ACCEPTED), takeResults());
      assertEquals(1, service.requestLog.size() - before, service.requestLog.toString());
    }
    assertEquals(JobStatus.OPEN, lookUpStatus(otherStore, 10));
  }

  /**
   * A dependency is cancelled just before the submission is committed, or meanwhile, while the
   * controller still has it cached as open. No user must get "pending" as the status of the job.
   */
  @ParameterizedTest
  @CsvSource({"1", "2"})
  void submissionIsUnverifiedWhenADependencyIsCancelledMeanwhile(int cancelled) {
    submitChain();
    otherStore.cancel("wk-" + cancelled, results::add);
    takeResults();
    // The cache still has the jobs of the chain as open.
    store.submit(job(6, "wk-4"), 0, results::add);
    store.submit(job(7), 0, results::add);
    assertEquals(
        List.of(SubmissionResult.ACCEPTED, SubmissionResult.ACCEPTED_UNVERIFIED),
        takeResults().stream().sorted().toList());
    assertEquals(JobStatus.CANCELLED, lookUpStatus(store, 6));
    assertEquals(JobStatus.OPEN, lookUpStatus(store, 7));
  }

  /**
   * The number of dependencies of a job is limited only by the length of its record, not by the
   * number of conditions in a transaction. A controller that has read none of them must read all of
   * them with a few requests.
   */
  @ParameterizedTest
  @CsvSource({
    "9, 0, ACCEPTED_UNVERIFIED, OPEN",
    "1200, 0, ACCEPTED_UNVERIFIED, OPEN",
    "1200, 1200, ACCEPTED, OPEN",
    "1200, 700, ACCEPTED_UNVERIFIED, OPEN",
    "1200, -700, ACCEPTED_UNVERIFIED, CANCELLED"
  })
  void jobWithManyDependenciesTakesFewRequests(
      int jobs, int ended, SubmissionResult result, JobStatus status) {
    service.txnOpsLimit = 2;
    JobStore unreadStore = newStore(2);
    List<String> dependencies = new ArrayList<>();
    for (int n = 1000; n < 1000 + jobs; n++) {
      dependencies.add("wk-" + n);
      if (n >= 1000 + Math.abs(ended)) {
        service.put("j/wk-" + n, Json.object().set("Spec", job(n).toJson()));
      } else {
        service.put(
            "f/wk-" + n,
            new JobOutcome(ended < 0 && n == 1500 ? JobStatus.CANCELLED : JobStatus.DONE, 1)
                .toJson());
      }
    }
    int before = service.requestLog.size();
    unreadStore.submit(job(1).withDependencies(dependencies), 0, results::add);
    assertEquals(List.of(result), takeResults());
    assertEquals(status, lookUpStatus(unreadStore, 1));
    assertEquals(status, lookUpStatus(newStore(2), 1));
    assertTrue(
        service.requestLog.size() - before <= 30, service.requestLog.size() - before + " requests");
    dependencies.add("wk-999999");
    newStore(2).submit(job(2).withDependencies(dependencies), 0, results::add);
    assertEquals(List.of(SubmissionResult.UNKNOWN_DEPENDENCY), takeResults());
    assertEquals(0, service.invalidTransactions);
  }

  /** One of many dependencies is completed, then another is cancelled, while the job is open. */
  @ParameterizedTest
  @CsvSource({"20", "100", "400"})
  void lookUpFindsTheOutcomeOfOneAmongManyDependencies(int jobs) {
    List<String> dependencies = new ArrayList<>();
    for (int n = 1000; n < 1000 + jobs; n++) {
      dependencies.add("wk-" + n);
      service.put("j/wk-" + n, Json.object().set("Spec", job(n).toJson()));
    }
    store.submit(job(1).withDependencies(dependencies), 0, results::add);
    takeResults();
    assertEquals(JobStatus.OPEN, lookUpStatus(otherStore, 1));
    complete(1000);
    assertEquals(JobStatus.OPEN, lookUpStatus(otherStore, 1));
    store.cancel("wk-1010", results::add);
    takeResults();
    assertEquals(JobStatus.CANCELLED, lookUpStatus(otherStore, 1));
  }

  @Test
  void submissionIsUnknownWhenManyDependenciesCannotBeListed() {
    List<String> dependencies = new ArrayList<>();
    for (int n = 1000; n < 1020; n++) {
      dependencies.add("wk-" + n);
      service.put("f/wk-" + n, new JobOutcome(JobStatus.DONE, 1).toJson());
    }
    for (String prefix : List.of("Under=j/", "Under=f/")) {
      service.unavailableFor = (method, path) -> path.contains(prefix);
      otherStore.submit(job(2).withDependencies(dependencies), 0, results::add);
      assertEquals(List.of(SubmissionResult.UNKNOWN), takeResults());
    }
  }
}
