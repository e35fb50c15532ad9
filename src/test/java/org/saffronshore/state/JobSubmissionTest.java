package org.saffronshore.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class JobSubmissionTest extends JobStoreTestBase {
  @Test
  void jobIsAcceptedOnceAcrossControllers() {
    store.submit(job(1), 0, results::add);
    assertEquals(List.of(SubmissionResult.ACCEPTED), takeResults());
    otherStore.submit(job(1), 0, results::add);
    assertEquals(List.of(SubmissionResult.DUPLICATE), takeResults());
    otherStore.lookUp("wk-1", results::add);
    otherStore.lookUp("wk-2", results::add);
    assertEquals(List.of(JobStatus.OPEN, JobStatus.NOT_FOUND), takeResults());
  }

  @Test
  void duplicateInABatchIsTheOnlySubmissionRefused() {
    store.submit(job(3), 0, results::add);
    takeResults();
    int before = service.requestLog.size();
    for (int i = 0; i < 8; i++) {
      store.submit(job(i), 0, results::add);
    }
    List<Object> received = takeResults();
    assertEquals(7, received.stream().filter(SubmissionResult.ACCEPTED::equals).count());
    assertEquals(1, received.stream().filter(SubmissionResult.DUPLICATE::equals).count());
    assertTrue(service.requestLog.size() - before <= 4, service.requestLog.toString());
  }

  /**
   * A transaction whose response is lost may have been committed, so the result must be UNKNOWN
   * until the user asks again.
   */
  @Test
  void commitWhoseResponseIsLostIsReportedAsUnknown() {
    service.responseLost = (method, path) -> path.equals("/commit");
    store.submit(job(1), 0, results::add);
    assertEquals(List.of(SubmissionResult.UNKNOWN), takeResults());
    store.cancel("wk-1", results::add);
    assertEquals(List.of(JobStatus.UNKNOWN), takeResults());
    service.responseLost = (method, path) -> false;
    store.cancel("wk-1", results::add);
    assertEquals(List.of(JobStatus.CANCELLED), takeResults());
    otherStore.submit(job(1), 0, results::add);
    assertEquals(List.of(SubmissionResult.DUPLICATE), takeResults());
    otherStore.lookUp("wk-1", results::add);
    assertEquals(List.of(JobStatus.CANCELLED), takeResults());
  }

  /**
   * The commit of a submission is executed long after its time limit, when the job has been
   * submitted again and cancelled. It must not reopen the job.
   */
  @Test
  void lateCommitDoesNotReopenACancelledJob() {
    service.executionDelayed = (method, path) -> path.equals("/commit");
    store.submit(job(1), 0, results::add);
    assertEquals(List.of(SubmissionResult.UNKNOWN), takeResults());
    service.executionDelayed = (method, path) -> false;
    store.submit(job(1), 0, results::add);
    assertEquals(List.of(SubmissionResult.ACCEPTED), takeResults());
    store.cancel("wk-1", results::add);
    takeResults();
    service.executeDelayedRequests();
    otherStore.lookUp("wk-1", results::add);
    assertEquals(List.of(JobStatus.CANCELLED), takeResults());
  }

  /**
   * The state service allows shorter values than announced, and rejects a transaction because one
   * of its job records is too long. The other submissions in that transaction must still be
   * accepted.
   */
  @Test
  void malformedSubmissionDoesNotPreventOthersFromBeingAccepted() {
    service.valueBytesLimit = 600;
    List<String> many = new ArrayList<>();
    for (int n = 100; n < 200; n++) {
      service.put("f/wk-" + n, new JobOutcome(JobStatus.DONE, 1).toJson());
      many.add("wk-" + n);
    }
    store.submit(job(50).withDependencies(many), 0, results::add);
    takeResults();
    store.submit(job(1), 0, results::add);
    for (int n = 2; n <= 5; n++) {
      store.submit(n == 3 ? job(3).withDependencies(many) : job(n), 0, results::add);
    }
    List<Object> received = takeResults();
    assertEquals(
        4,
        received.stream().filter(SubmissionResult.ACCEPTED::equals).count(),
        received.toString());
    assertEquals(
        1, received.stream().filter(SubmissionResult.UNKNOWN::equals).count(), received.toString());
    assertEquals(JobStatus.NOT_FOUND, lookUpStatus(otherStore, 3));
    assertEquals(JobStatus.OPEN, lookUpStatus(otherStore, 5));
  }

  @Test
  void submissionsBeyondTheWriteBudgetAreRefusedAsOverloaded() {
    for (int i = 0; i < 2_000; i++) {
      store.submit(job(i), 0, results::add);
    }
    assertTrue(
        results.stream().filter(SubmissionResult.OVERLOADED::equals).count() > 1_000,
        "most submissions are refused immediately");
    loop.advance(60);
    assertEquals(2_000, results.size(), "every submission has a result");
  }
}
