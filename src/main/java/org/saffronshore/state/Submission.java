package org.saffronshore.state;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Json;

/** A job that is to be accepted, with what the transaction that accepts it has to contain. */
final class Submission {
  /** A job's own conditions: it is neither open nor has an outcome. */
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

  /** The length of the job's record, in bytes. */
  int sizeBytes() {
    return sizeBytes;
  }

  void respond(SubmissionResult result) {
    callback.accept(result);
  }

  /**
   * Whether the submission must not share a transaction: the state service refused one with this
   * submission and others as malformed.
   */
  boolean needsOwnTransaction() {
    return needsOwnTransaction;
  }

  void requireOwnTransaction() {
    needsOwnTransaction = true;
  }

  /**
   * Chooses the conditions on dependencies. That these were accepted never changes and needs no
   * condition. But the transaction may prove that none of them is cancelled, where the state
   * service takes so many conditions, which saves a look-up afterwards.
   */
  void chooseConditions(JobCache cache, int maxConditions) {
    JobCache.Closure closure = cache.closure(job.dependencies());
    verifiesDependencies =
        closure.unread().isEmpty()
            && !closure.cancelled()
            && OWN_CONDITIONS + closure.open().size() <= maxConditions;
    openDependencies = verifiesDependencies ? closure.open() : Set.of();
  }

  /** The open jobs of which the transaction proves that they are still open. */
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

  /** The result when the transaction was committed. */
  SubmissionResult acceptedResult() {
    return verifiesDependencies ? SubmissionResult.ACCEPTED : SubmissionResult.ACCEPTED_UNVERIFIED;
  }
}
