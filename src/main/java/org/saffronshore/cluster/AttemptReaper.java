package org.saffronshore.cluster;

import org.saffronshore.leadership.FencingTokens;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides when an attempt that is over cannot start again, and when its worker may forget it.
 *
 * <p>A worker executes a launch if the launch's fencing token is not smaller than the largest that
 * the worker has seen and its epoch is the current one. The network may deliver a launch that was
 * executed and answered once more, at any later time. Such a copy has no effect while the worker
 * holds the attempt, in whatever state, but starts the attempt anew once the worker has lost it. A
 * worker loses an attempt when it executes a reap, or when its machine is without power for a
 * moment. By then the task may be running on another machine, its job may be cancelled, or its team
 * may be at its limit. Hence two rules:
 *
 * <p><b>An attempt that is over ends only when the worker has confirmed a fencing token that is
 * larger than that of every launch of the attempt.</b> Until then its task is not placed again, and
 * counts for its team and its zone. An attempt is over when the worker's newest message shows that
 * it has exited, or does not show it any more. A worker confirms a token by showing it in a
 * message.
 *
 * <p><b>A reap is sent only with a fencing token that is larger than that of every launch of the
 * attempt.</b> A worker that executes the reap has then seen the larger token, and rejects all
 * copies of these launches.
 *
 * <p>The token of a machine is raised in the response to a heartbeat as soon as the worker shows an
 * attempt, so that the launch is usually fenced long before the attempt is over. Otherwise it is
 * raised in the direct command that stops the attempt, or in one that is due because the attempt is
 * over.
 *
 * <p>An exited attempt may be reaped unless it is one of these:
 *
 * <ul>
 *   <li>needed: its task is completed and the state service has not stored that yet, or it is
 *       unknown whether a launch has arrived. Ends when the completion is stored or the job has
 *       ended; an unknown launch ends with the worker's epoch;
 *   <li>not fenced: the machine's fencing token is not larger than that of a launch. Ends with the
 *       next message that may raise the token, unless the next token is not reserved yet.
 * </ul>
 *
 * <p>An attempt that an earlier leader launched is fenced from the start, since a reconciled
 * machine has seen this term's first token; for other machines, {@link Reconciliation} decides.
 * Launches of an earlier epoch are rejected, so a new epoch ends all attempts.
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
   * Returns whether a copy of a launch may start the attempt again once its worker has lost it: the
   * worker has not confirmed a larger fencing token than that of each launch.
   */
  boolean mayStartAgain(Attempt attempt) {
    return attempt.launch().largestToken() > 0
        && attempt.launch().largestToken() >= attempt.machine().delivery().confirmedToken();
  }

  /** Returns whether the machine has an attempt that is over and cannot start again. */
  boolean hasFencedAttempt(Machine machine) {
    for (Attempt attempt : machine.attempts()) {
      if (attempt.isOver() && !mayStartAgain(attempt)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a direct command would fence an attempt that is over. */
  boolean isFencingDue(Machine machine) {
    for (Attempt attempt : machine.attempts()) {
      if (attempt.isOver()
          && mayStartAgain(attempt)
          && (isFenced(attempt) || tokens.isReserved(machine.fencingToken() + 1))) {
        return true;
      }
    }
    return false;
  }

  /**
   * Raises the fencing token of the messages to a machine if an attempt on it that is over, or that
   * is being stopped, may start again. To be called for a direct batch, while no other is in
   * flight. A response to a heartbeat that the worker receives later, with the smaller token, is
   * dropped, as if it had been lost.
   */
  void raiseTokenForDirectBatch(Machine machine) {
    for (Attempt attempt : machine.attempts()) {
      boolean ending = attempt.isOver() || (attempt.isStopping() && !attempt.isLaunching());
      if (ending && !isFenced(attempt)) {
        raiseToken(machine);
        return;
      }
    }
  }

  /**
   * Raises the fencing token of the messages to a machine if the worker has executed launches that
   * are not fenced. To be called for the response to a heartbeat. A worker has one heartbeat at a
   * time in flight, so it does not receive a response with a smaller token after this one; a direct
   * command that is in flight would be rejected.
   */
  void raiseTokenForResponse(Machine machine) {
    if (!machine.delivery().isInFlight() && hasLaunchToFence(machine)) {
      raiseToken(machine);
    }
  }

  private static boolean hasLaunchToFence(Machine machine) {
    for (Attempt attempt : machine.attempts()) {
      if (!attempt.isLaunching() && !isFenced(attempt)) {
        return true;
      }
    }
    for (Attempt attempt : machine.tasks().exited()) {
      if (!isFenced(attempt)) {
        return true;
      }
    }
    return false;
  }

  private void raiseToken(Machine machine) {
    long next = machine.fencingToken() + 1;
    if (!tokens.isReserved(next)) {
      return;
    }
    machine.delivery().raiseFencingToken(next);
    LOG.debug("Fencing token raised: machine={} token={}", machine.id(), next);
  }

  /** Returns whether the machine's next message has a larger token than each of the launches. */
  private static boolean isFenced(Attempt attempt) {
    return attempt.launch().largestToken() < attempt.machine().fencingToken();
  }

  /**
   * Returns whether the worker must keep an exited attempt: it completed its task, which is not
   * stored yet, or it is unknown whether a launch of it has arrived.
   */
  private boolean isNeeded(Attempt attempt) {
    if (attempt.launch().mayArrive()) {
      return true;
    }
    Job job = jobs.get(attempt.task().job());
    return attempt.isCompleted()
        && job != null
        && !job.savedFinishedTasks().get(attempt.task().index());
  }
}
