package org.saffronshore.state;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;

/**
 * Checks whether jobs are still open, with transactions that have conditions and no writes. A
 * transaction checks as many jobs as it may have conditions. The first check after a pause is sent
 * at once. Checks in quick succession share the next request, since a burst of polls would
 * otherwise use up this controller's share of the request rate.
 */
final class OpenJobChecker {
  /** The maximum fraction of the controller's share of the request rate for checks. */
  private static final double MAX_RATE_FRACTION = 0.5;

  /**
   * A check of several jobs, which completes when all jobs have a result or any job cannot be
   * checked.
   */
  private static final class Check {
    private final Consumer<Optional<Set<String>>> callback;
    private final Set<String> ended = new HashSet<>();

    /** The number of jobs without a result; 0 once the check is complete. */
    private int remaining;

    Check(int jobs, Consumer<Optional<Set<String>>> callback) {
      this.remaining = jobs;
      this.callback = callback;
    }

    void fail() {
      if (remaining > 0) {
        remaining = 0;
        callback.accept(Optional.empty());
      }
    }

    void add(String job, boolean open) {
      if (remaining == 0) {
        return;
      }
      if (!open) {
        ended.add(job);
      }
      remaining--;
      if (remaining == 0) {
        callback.accept(Optional.of(ended));
      }
    }
  }

  private final EventLoop loop;
  private final StateClient state;
  private final JobCache cache;
  private final int maxConditions;

  /** The jobs that are not in a request yet, each with the checks that wait for its result. */
  private final Map<String, List<Check>> pending = new LinkedHashMap<>();

  /** Whether a request is in flight or scheduled. */
  private boolean busy;

  private double nextRequestAt = Double.NEGATIVE_INFINITY;

  OpenJobChecker(EventLoop loop, StateClient state, JobCache cache, Settings settings) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.maxConditions = Transaction.maxConditions(settings);
  }

  /**
   * Finds the jobs that are no longer open.
   *
   * @param callback receives the set of their ids, which has no elements when all jobs are open; an
   *     empty Optional when the jobs could not be checked
   */
  void findEnded(Set<String> jobs, Consumer<Optional<Set<String>>> callback) {
    Check check = new Check(jobs.size(), callback);
    jobs.forEach(job -> checksOf(job).add(check));
    sendNext();
  }

  private List<Check> checksOf(String job) {
    return pending.computeIfAbsent(job, id -> new ArrayList<>(1));
  }

  private void sendNext() {
    if (busy || pending.isEmpty()) {
      return;
    }
    busy = true;
    double delayS = nextRequestAt - loop.now();
    if (delayS > 0) {
      loop.schedule(delayS, this::send);
    } else {
      send();
    }
  }

  private void send() {
    Map<String, List<Check>> sent = takePending();
    Transaction transaction = new Transaction();
    // A job that has been dropped from the cache meanwhile has the version NO_VERSION here,
    // and so counts as ended: the caller reads its outcome.
    sent.keySet().forEach(job -> transaction.expectVersion(Keys.openJob(job), cache.version(job)));
    nextRequestAt = loop.now() + 1 / (MAX_RATE_FRACTION * state.requestsPerS());
    state.commit(
        transaction,
        RequestPriority.NORMAL,
        result -> {
          busy = false;
          handleResult(sent, result);
          sendNext();
        });
  }

  private Map<String, List<Check>> takePending() {
    Map<String, List<Check>> taken = new LinkedHashMap<>();
    var entries = pending.entrySet().iterator();
    while (entries.hasNext() && taken.size() < maxConditions) {
      Map.Entry<String, List<Check>> entry = entries.next();
      taken.put(entry.getKey(), entry.getValue());
      entries.remove();
    }
    return taken;
  }

  private void handleResult(Map<String, List<Check>> sent, CommitResult result) {
    Set<String> ended = result.conflictingJobs();
    sent.forEach(
        (job, checks) -> {
          if (result.isCommitted()) {
            checks.forEach(check -> check.add(job, true));
          } else if (ended.isEmpty()) {
            checks.forEach(Check::fail);
          } else if (ended.contains(job)) {
            checks.forEach(check -> check.add(job, false));
          } else {
            // The protocol does not promise that a conflict names every key whose condition failed:
            // the other jobs are checked again, without a delay.
            checksOf(job).addAll(checks);
            nextRequestAt = Double.NEGATIVE_INFINITY;
          }
        });
  }
}
