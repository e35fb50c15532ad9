package org.saffronshore.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Submissions that share a transaction, within the state service's limits on transactions. */
final class SubmissionBatch {
  /**
   * The maximum total length of the job records, in bytes. A transaction may be 64 KiB long; this
   * leaves room for its conditions.
   */
  private static final int MAX_BYTES = 40 * 1024;

  private final int maxSubmissions;
  private final int maxConditions;
  private final List<Submission> submissions = new ArrayList<>();
  private final Set<String> ids = new HashSet<>();
  private int totalBytes;
  private int totalConditions;

  SubmissionBatch(int maxSubmissions, int maxConditions) {
    this.maxSubmissions = maxSubmissions;
    this.maxConditions = maxConditions;
  }

  boolean isFull() {
    return submissions.size() >= maxSubmissions
        || submissions.stream().anyMatch(Submission::needsOwnTransaction);
  }

  /** Returns whether a submission may be added; the first one always may. */
  boolean hasRoomFor(Submission submission) {
    return submissions.isEmpty()
        || (!ids.contains(submission.id())
            && !submission.needsOwnTransaction()
            && totalBytes + submission.sizeBytes() <= MAX_BYTES
            && totalConditions + submission.conditionCount() <= maxConditions);
  }

  void add(Submission submission) {
    submissions.add(submission);
    ids.add(submission.id());
    totalBytes += submission.sizeBytes();
    totalConditions += submission.conditionCount();
  }

  List<Submission> submissions() {
    return Collections.unmodifiableList(submissions);
  }
}
