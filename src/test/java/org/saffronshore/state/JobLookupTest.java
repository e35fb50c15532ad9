package org.saffronshore.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.saffronshore.TestData;
import org.saffronshore.wire.Json;

class JobLookupTest extends JobStoreTestBase {
  @Test
  void statusIsUnknownWhenRecordOrOutcomeCannotBeRead() {
    service.unavailableFor = (method, path) -> path.contains("f/");
    store.lookUp("wk-1", results::add);
    service.unavailableFor = (method, path) -> true;
    store.lookUp("wk-1", results::add);
    store.submit(job(1), 0, results::add);
    assertEquals(
        3,
        takeResults().stream()
            .filter(result -> result == JobStatus.UNKNOWN || result == SubmissionResult.UNKNOWN)
            .count());
  }

  /** An outcome never changes, so a cached outcome is returned without a request. */
  @Test
  void knownOutcomeIsReturnedWhileTheStateServiceIsUnavailable() {
    store.submit(job(1), 0, results::add);
    takeResults();
    store.cancel("wk-1", results::add);
    takeResults();
    service.unavailableFor = (method, path) -> true;
    store.lookUp("wk-1", results::add);
    store.cancel("wk-1", results::add);
    assertEquals(List.of(JobStatus.CANCELLED, JobStatus.CANCELLED), takeResults());
  }

  /**
   * With one request per look-up, a burst of polls would use up the controller's share of the
   * request rate.
   */
  @Test
  void concurrentLookUpsShareRequests() {
    service.txnOpsLimit = TestData.settings().maxTransactionWrites();
    for (int n = 1; n <= 60; n++) {
      service.put(
          "j/wk-" + n, Json.object().set("Spec", (n % 2 == 0 ? job(n, "wk-1") : job(n)).toJson()));
      assertEquals(JobStatus.OPEN, lookUpStatus(otherStore, n));
    }
    complete(7);
    store.cancel("wk-9", results::add);
    takeResults();
    int before = service.requestLog.size();
    List<String> statuses = new ArrayList<>();
    for (int n = 1; n <= 60; n++) {
      int job = n;
      otherStore.lookUp("wk-" + n, status -> statuses.add(job + " " + status));
    }
    loop.advance(1);
    assertEquals(60, statuses.size());
    statuses.removeIf(status -> status.endsWith(" OPEN"));
    assertEquals(List.of("7 DONE", "9 CANCELLED"), statuses.stream().sorted().toList());
    assertTrue(
        service.requestLog.size() - before <= 8,
        service.requestLog.subList(before, service.requestLog.size()).toString());
    assertEquals(0, service.invalidTransactions);
  }

  /** The protocol does not promise that a conflict names every key whose condition failed. */
  @Test
  void jobsNotNamedInAConflictAreCheckedAgain() {
    service.reportsOnlyFirstConflict = true;
    for (int n = 1; n <= 20; n++) {
      service.put("j/wk-" + n, Json.object().set("Spec", job(n).toJson()));
      assertEquals(JobStatus.OPEN, lookUpStatus(otherStore, n));
    }
    List.of(3, 5, 8).forEach(this::complete);
    store.cancel("wk-9", results::add);
    takeResults();
    List<String> ended = new ArrayList<>();
    for (int n = 1; n <= 20; n++) {
      int job = n;
      otherStore.lookUp(
          "wk-" + n,
          status -> {
            if (status != JobStatus.OPEN) {
              ended.add(job + " " + status);
            }
          });
    }
    loop.advance(2);
    assertEquals(
        List.of("3 DONE", "5 DONE", "8 DONE", "9 CANCELLED"), ended.stream().sorted().toList());
  }

  @Test
  void lookUpsAreUnknownWhenTheStateServiceIsUnavailable() {
    for (int n = 1; n <= 60; n++) {
      service.put("j/wk-" + n, Json.object().set("Spec", job(n).toJson()));
      assertEquals(JobStatus.OPEN, lookUpStatus(otherStore, n));
    }
    service.unavailableFor = (method, path) -> true;
    for (int n = 1; n <= 60; n++) {
      otherStore.lookUp("wk-" + n, results::add);
    }
    loop.advance(1);
    assertEquals(60, results.stream().filter(JobStatus.UNKNOWN::equals).count());
    service.unavailableFor = (method, path) -> false;
    results.clear();
    assertEquals(JobStatus.OPEN, lookUpStatus(otherStore, 60));
  }
}
