package org.saffronshore.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class JobSubmissionTest extends JobStoreTestBase {
  @Test
  void jobIsAcceptedOnceByAllControllersTogether() {
    store.submit(job(1), 0, results::add);
    assertEquals(List.of(SubmissionResult.ACCEPTED), takeResults());
    otherStore.submit(job(1), 0, results::add);
    assertEquals(List.of(SubmissionResult.DUPLICATE), takeResults());
    otherStore.lookUp("wk-1", results::add);
    otherStore.lookUp("wk-2", results::add);
    assertEquals(List.of(JobStatus.OPEN, JobStatus.NOT_FOUND), takeResults());
  }

  @Test
  void duplicateAmongSubmissionsThatShareATransactionIsRefusedAlone() {
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
   * A transaction whose response is lost may have been committed: the user has to ask again, and
   * gets the result then.
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

  /** A submission that is committed late must not reopen a job that was cancelled meanwhile. */
  @Test
  void submissionThatIsCommittedLateDoesNotReopenACancelledJob() {
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
   * The state service takes shorter values than announced: the submissions that share a transaction
   * with one that is too long are accepted all the same.
   */
  @Test
  void malformedSubmissionDoesNotKeepOthersFromBeingAccepted() {
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
    assertEquals(JobStatus.NOT_FOUND, statusAt(otherStore, 3));
    assertEquals(JobStatus.OPEN, statusAt(otherStore, 5));
  }

  @Test
  void submissionsBeyondTheWriteBudgetAreRefusedAsOverloaded() {
    for (int i = 0; i < 2_000; i++) {
      store.submit(job(i), 0, results::add);
    }
    assertTrue(
        results.stream().filter(SubmissionResult.OVERLOADED::equals).count() > 1_000,
        "refused at once");
    loop.advance(60);
    assertEquals(2_000, results.size(), "every submission got its result");
  }
}
