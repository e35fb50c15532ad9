package org.saffronshore.cluster;

import org.saffronshore.leadership.FencingTokens;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides when a worker may forget an exited attempt, that is, when it is sent a reap.
 *
 * <p>A worker executes a launch if the launch's fencing token is not smaller than the largest that
 * the worker has seen and its epoch is the current one. The network may deliver a launch that was
 * executed and answered once more, at any later time. Such a copy has no effect while the worker
 * holds the attempt, in whatever state, but starts the attempt anew once it was reaped. By then the
 * task may be running on another machine, its job may be cancelled, or its team may be at its
 * limit. Hence the rule:
 *
 * <p><b>A reap is sent only with a fencing token that is larger than that of every launch of the
 * attempt.</b> A worker that executes the reap has then seen the larger token, and rejects all
 * copies of these launches.
 *
 * <p>An exited attempt passes through these states:
 *
 * <ul>
 *   <li>needed: its task is completed and the state service has not stored that yet, or it is
 *       unknown whether a launch has arrived. Ends when the completion is stored or the job has
 *       ended; an unknown launch ends with the worker's epoch;
 *   <li>not fenced: the machine's fencing token is not larger than that of a launch. Ends with the
 *       next response to a heartbeat, which raises the token, unless a direct command is in flight
 *       or the next token is not reserved yet;
 *   <li>reapable: every message to the worker contains the reap. Ends when the worker does not
 *       report the attempt any more.
 * </ul>
 *
 * <p>An attempt that an earlier leader launched is fenced from the start, since the machine has
 * seen this term's first token. A new epoch ends all of these states.
 */
final class AttemptReaper {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptReaper.class);

  private final JobTable jobs;
  private final FencingTokens tokens;

  AttemptReaper(JobTable jobs, FencingTokens tokens) {
    this.jobs = jobs;
    this.tokens = tokens;
  }

  /** Returns whether the worker may be sent a reap of an exited attempt. */
  boolean isReapable(Attempt attempt) {
    return !isNeeded(attempt) && isFenced(attempt);
  }

  /**
   * Raises the fencing token of the messages to a machine if there are attempts that only wait for
   * that. To be called for the response to a heartbeat. A worker has one heartbeat at a time in
   * flight, so it does not receive a response with a smaller token after this one; a direct command
   * that is in flight would be rejected.
   */
  void raiseTokenIfDue(Machine machine) {
    long next = machine.fencingToken() + 1;
    if (machine.delivery().isInFlight()
        || !tokens.isReserved(next)
        || !hasAttemptToFence(machine)) {
      return;
    }
    machine.delivery().raiseFencingToken(next);
    LOG.debug("Fencing token raised: machine={} token={}", machine.id(), next);
  }

  private boolean hasAttemptToFence(Machine machine) {
    for (Attempt attempt : machine.tasks().exited()) {
      if (!isNeeded(attempt) && !isFenced(attempt)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the machine's next message has a larger token than each of the launches. */
  private static boolean isFenced(Attempt attempt) {
    return attempt.largestLaunchToken() < attempt.machine().fencingToken();
  }

  /**
   * Returns whether the worker must keep an exited attempt: it completed its task, which is not
   * stored yet, or it is unknown whether a launch of it has arrived.
   */
  private boolean isNeeded(Attempt attempt) {
    if (attempt.launchMayArrive()) {
      return true;
    }
    Job job = jobs.get(attempt.task().job());
    return attempt.isCompleted()
        && job != null
        && !job.savedFinishedTasks().get(attempt.task().index());
  }
}
