package org.saffronshore.state;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Json;

/**
 * A job to be accepted, with the conditions and the write that a transaction needs to accept it.
 */
final class Submission {
  /** The number of conditions on the job itself: it is not open, and has no outcome. */
  private static final int OWN_CONDITIONS = 2;

  private final JobSpec job;
  private final ObjectNode stored;
  private final int sizeBytes;
  private final Consumer<SubmissionResult> callback;
  private Set<String> openDependencies = Set.of();
  private boolean verifiesDependencies;
  private boolean needsOwnTransaction;

  Submission(JobSpec job, long submittedMs, Consumer<SubmissionResult> callback) {
    this.job = job;
    this.stored = new JobRecord(submittedMs, job).toJson();
    this.sizeBytes = Json.bytes(stored).length;
    this.callback = callback;
  }

  String id() {
    return job.id();
  }

  List<String> dependencies() {
    return job.dependencies();
  }

  /** Returns the length of the job's record, in bytes. */
  int sizeBytes() {
    return sizeBytes;
  }

  void respond(SubmissionResult result) {
    callback.accept(result);
  }

  /**
   * Returns whether the submission must not share a transaction, because the state service rejected
   * a transaction with this and other submissions as malformed.
   */
  boolean needsOwnTransaction() {
    return needsOwnTransaction;
  }

  void requireOwnTransaction() {
    needsOwnTransaction = true;
  }

  /**
   * Chooses the conditions on dependencies. An accepted dependency stays accepted, so its
   * acceptance needs no condition. If the state service allows enough conditions in a transaction,
   * the transaction also proves that no dependency is cancelled, which saves a look-up afterwards.
   */
  void chooseConditions(JobCache cache, int maxConditions) {
    JobCache.Closure closure = cache.closure(job.dependencies());
    verifiesDependencies =
        closure.unread().isEmpty()
            && !closure.cancelled()
            && OWN_CONDITIONS + closure.open().size() <= maxConditions;
    openDependencies = verifiesDependencies ? closure.open() : Set.of();
  }

  /** Returns the direct and transitive dependencies that the transaction proves to be open. */
  Set<String> openDependencies() {
    return openDependencies;
  }

  int conditionCount() {
    return OWN_CONDITIONS + openDependencies.size();
  }

  /** Adds the conditions and the write that accept the job. */
  void addTo(Transaction transaction, JobCache cache) {
    transaction
        .expectVersion(Keys.openJob(job.id()), Transaction.ABSENT)
        .expectVersion(Keys.jobOutcome(job.id()), Transaction.ABSENT);
    openDependencies.forEach(
        dependency ->
            transaction.expectVersion(Keys.openJob(dependency), cache.version(dependency)));
    transaction.put(Keys.openJob(job.id()), stored);
  }

  /** Returns the result of the submission when its transaction is committed. */
  SubmissionResult acceptedResult() {
    return verifiesDependencies ? SubmissionResult.ACCEPTED : SubmissionResult.ACCEPTED_UNVERIFIED;
  }
}
