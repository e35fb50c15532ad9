package lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks the rules of the protocol on what runs and on what users are told. */
public final class Rules {
  private final Recorder recorder;
  private final double cancelS;
  private final Map<String, Double> limits = new HashMap<>();
  private final Map<String, Set<Worker>> running = new LinkedHashMap<>();
  private final Map<String, Job> jobOf = new HashMap<>();
  private final Set<String> kept = new HashSet<>();
  private final Map<String, Double> cancelledAt = new HashMap<>();
  private final Map<String, String> finalAnswer = new HashMap<>();
  private final Set<String> cancelAsked = new HashSet<>();
  private final Map<String, Integer> starts = new HashMap<>();
  private final List<String> broken = new ArrayList<>();

  Rules(Recorder recorder, double cancelS) {
    this.recorder = recorder;
    this.cancelS = cancelS;
  }

  public synchronized void limit(String team, double cpus) {
    limits.put(team, cpus);
  }

  public synchronized void breach(String rule, String text) {
    broken.add(rule + ": " + text);
    recorder.log("RULE BROKEN %s: %s", rule, text);
  }

  public synchronized List<String> broken() {
    return new ArrayList<>(broken);
  }

  synchronized void started(String task, Job job, Worker worker) {
    starts.merge(task, 1, Integer::sum);
    Set<Worker> on = running.computeIfAbsent(task, key -> new HashSet<>());
    if (!on.isEmpty()) {
      breach("ran_twice", task + " starts on " + worker.id + " while it is on " + on.iterator().next().id);
    }
    on.add(worker);
    jobOf.put(task, job);
    Double limit = limits.get(job.team);
    if (limit != null && limit > 0) {
      double used = 0;
      for (Map.Entry<String, Set<Worker>> entry : running.entrySet()) {
        Job other = jobOf.get(entry.getKey());
        if (other.team.equals(job.team)) {
          used += other.cores * entry.getValue().size();
        }
      }
      if (used > limit + 1e-6) {
        breach("quota", job.team + " uses " + used + " of " + limit);
      }
    }
    for (String awaited : job.awaits) {
      Job before = known.get(awaited);
      if (before != null && !allDone(before)) {
        breach("too_early", task + " starts before " + awaited + " is done");
      }
    }
    Double told = cancelledAt.get(job.id);
    if (told != null && recorder.now() > told + cancelS) {
      breach("ran_cancelled", task + " starts " + (recorder.now() - told) + " s after its user was told");
    }
    if (worker.spot && !job.spot) {
      breach("wrong_place", task + " on a spot machine");
    }
    if (job.samePlace || job.spread) {
      Map<String, Integer> zones = new HashMap<>();
      running.forEach(
          (other, workers) -> {
            if (jobOf.get(other).id.equals(job.id)) {
              workers.forEach(machine -> zones.merge(machine.zone, 1, Integer::sum));
            }
          });
      if (job.samePlace && zones.size() > 1) {
        breach("wrong_place", task + " in " + worker.zone + ", zones " + zones);
      }
      if (job.spread && zones.get(worker.zone) > (job.tasks + 1) / 2) {
        breach("wrong_place", task + " spread, zones " + zones);
      }
    }
  }

  synchronized void ended(String task, Job job, Worker worker, String why) {
    running.get(task).remove(worker);
    if (why.equals("lease")) {
      lost.merge(task, 1, Integer::sum);
    }
    Double told = cancelledAt.get(job.id);
    if (told != null && recorder.now() > told + cancelS + 0.1) {
      breach("ran_cancelled", task + " gone " + (recorder.now() - told) + " s after its user was told");
    }
  }

  private final Map<String, Integer> lost = new HashMap<>();

  /** Returns how often a task was killed because its machine's lease had run out. */
  public synchronized int lostByLease(String task) {
    return lost.getOrDefault(task, 0);
  }

  private final Map<String, Double> progress = new HashMap<>();

  synchronized void saved(String task, double ranS) {
    progress.merge(task, ranS, Double::sum);
  }

  synchronized double savedS(String task) {
    return progress.getOrDefault(task, 0.0);
  }

  synchronized void completed(String task) {
    kept.add(task);
  }

  synchronized boolean isKept(String task) {
    return kept.contains(task);
  }

  public synchronized int starts(String task) {
    return starts.getOrDefault(task, 0);
  }

  public synchronized Set<String> onMachines(String job) {
    Set<String> tasks = new HashSet<>();
    running.forEach(
        (task, workers) -> {
          if (!workers.isEmpty() && task.startsWith(job + "/")) {
            tasks.add(task);
          }
        });
    return tasks;
  }

  private final Map<String, Job> known = new HashMap<>();

  synchronized void known(Job job) {
    known.put(job.id, job);
  }

  public synchronized void cancelAsked(String job) {
    cancelAsked.add(job);
  }

  /** Checks an answer about a job that was accepted before the question was sent. */
  public synchronized void told(Job job, String status, double askedAt, String finalBefore) {
    if (finalBefore != null && !finalBefore.equals(status)) {
      breach("went_back", job.id + " was " + finalBefore + " and is " + status);
    }
    if (status.equals("pending") || status.equals("running")) {
      String before = cancelledBefore(job, askedAt - cancelS);
      if (before != null) {
        breach("orphaned", job.id + " is " + status + ", " + before + " is cancelled");
      }
    }
    if (status.equals("done")) {
      for (int i = 0; i < job.tasks; i++) {
        if (!kept.contains(job.id + "/" + i)) {
          breach("not_done", job.id + " done before task " + i);
          break;
        }
      }
    }
    if (status.equals("aborted")) {
      if (!cancelAsked.contains(job.id) && job.awaits.isEmpty()) {
        breach("went_back", job.id + " is cancelled, its user did not ask");
      }
      cancelledAt.putIfAbsent(job.id, recorder.now());
    }
    if (status.equals("done") || status.equals("aborted")) {
      finalAnswer.putIfAbsent(job.id, status);
    }
  }

  /** Returns a job that this one needs and whose user was told before a moment that it is cancelled. */
  private String cancelledBefore(Job job, double moment) {
    Set<String> seen = new HashSet<>(job.awaits);
    List<String> left = new ArrayList<>(seen);
    while (!left.isEmpty()) {
      String awaited = left.remove(left.size() - 1);
      Double told = cancelledAt.get(awaited);
      if (told != null && told < moment) {
        return awaited;
      }
      Job before = known.get(awaited);
      if (before != null) {
        before.awaits.stream().filter(seen::add).forEach(left::add);
      }
    }
    return null;
  }

  public synchronized String finalAnswer(String job) {
    return finalAnswer.get(job);
  }

  public synchronized boolean allDone(Job job) {
    for (int i = 0; i < job.tasks; i++) {
      if (!kept.contains(job.id + "/" + i)) {
        return false;
      }
    }
    return true;
  }
}
