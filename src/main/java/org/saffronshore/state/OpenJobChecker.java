package org.saffronshore.state;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;

/**
 * Asks the state service whether jobs are still open: with transactions that only compare, each for
 * as many jobs as one may have guards. A question goes out at once when it is the first for a
 * while; those that come in quick succession share the next request, or a burst of polls would
 * spend this controller's share of the request rate.
 */
final class OpenJobChecker {
  /** Requests of this kind may take this part of the controller's share of the request rate. */
  private static final double RATE_PART = 0.5;

  private static final class Question {
    final Consumer<Set<String>> then;
    final Set<String> ended = new HashSet<>();
    int unanswered;

    Question(int jobs, Consumer<Set<String>> then) {
      this.unanswered = jobs;
      this.then = then;
    }

    void fail() {
      if (unanswered > 0) {
        unanswered = 0;
        then.accept(null);
      }
    }

    void answer(String job, boolean open) {
      if (unanswered == 0) {
        return;
      }
      if (!open) {
        ended.add(job);
      }
      if (--unanswered == 0) {
        then.accept(ended);
      }
    }
  }

  private final EventLoop loop;
  private final StateClient state;
  private final JobCache cache;
  private final int maxGuards;
  private final Map<String, List<Question>> waiting = new LinkedHashMap<>();
  private boolean busy;
  private double nextAt = Double.NEGATIVE_INFINITY;

  OpenJobChecker(EventLoop loop, StateClient state, JobCache cache, Settings settings) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.maxGuards = Transaction.maxConditions(settings);
  }

  /**
   * Tells which of the jobs are not open any more: none when all are; null when the state service
   * did not tell.
   */
  void findEnded(Set<String> jobs, Consumer<Set<String>> then) {
    Question question = new Question(jobs.size(), then);
    jobs.forEach(job -> waiting.computeIfAbsent(job, j -> new ArrayList<>(1)).add(question));
    sendNext();
  }

  private void sendNext() {
    if (busy || waiting.isEmpty()) {
      return;
    }
    busy = true;
    double pauseS = nextAt - loop.now();
    if (pauseS > 0) {
      loop.schedule(pauseS, this::send);
    } else {
      send();
    }
  }

  private void send() {
    Map<String, List<Question>> asked = new LinkedHashMap<>();
    Transaction txn = new Transaction();
    var next = waiting.entrySet().iterator();
    while (next.hasNext() && asked.size() < maxGuards) {
      Map.Entry<String, List<Question>> entry = next.next();
      JobCache.OpenJob known = cache.openJob(entry.getKey());
      // A job whose record was dropped meanwhile counts as not open: its end is looked for then.
      txn.expectVersion(Keys.openJob(entry.getKey()), known == null ? -1 : known.version());
      asked.put(entry.getKey(), entry.getValue());
      next.remove();
    }
    nextAt = loop.now() + 1 / (RATE_PART * state.requestShare());
    state.commit(
        txn,
        false,
        result -> {
          busy = false;
          answered(asked, result);
          sendNext();
        });
  }

  private void answered(Map<String, List<Question>> asked, CommitResult result) {
    Set<String> failed = result.conflictingJobs();
    asked.forEach(
        (job, questions) -> {
          if (result.isCommitted()) {
            questions.forEach(question -> question.answer(job, true));
          } else if (failed.isEmpty()) {
            questions.forEach(Question::fail);
          } else if (failed.contains(job)) {
            questions.forEach(question -> question.answer(job, false));
          } else {
            // Nothing says that a refusal names every guard that failed.
            waiting.computeIfAbsent(job, j -> new ArrayList<>(1)).addAll(questions);
            nextAt = Double.NEGATIVE_INFINITY;
          }
        });
  }
}
