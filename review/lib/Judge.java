import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Knows which task is on which machine, and checks the rules at every start of a task. */
final class Judge {
  /** The submitted jobs, as the users upload them. */
  final Map<String, JsonNode> jobs = new HashMap<>();

  /** Tasks that have completed; their results are kept. */
  final Set<String> completed = new HashSet<>();

  /** The number of starts of each task. */
  final Map<String, Integer> starts = new TreeMap<>();

  final List<String> violations = new ArrayList<>();

  /** The machines that each task is on, with their zones. */
  private final Map<String, Map<String, String>> on = new HashMap<>();

  static String jobOf(String task) {
    return task.substring(0, task.indexOf('/'));
  }

  synchronized JsonNode job(String id) {
    return jobs.get(id);
  }

  synchronized void submitted(JsonNode job) {
    jobs.put(job.get("Uid").asText(), job);
  }

  synchronized boolean isCompleted(String task) {
    return completed.contains(task);
  }

  synchronized void complete(String task) {
    completed.add(task);
  }

  synchronized int starts(String task) {
    return starts.getOrDefault(task, 0);
  }

  /** Returns the machine that the task is on; null if it is on none. */
  synchronized String machineOf(String task) {
    return on.getOrDefault(task, Map.of()).keySet().stream().findFirst().orElse(null);
  }

  synchronized void start(String task, long attempt, String machine, String zone) {
    Log.line("task %s attempt %d starts on %s in %s", task, attempt, machine, zone);
    starts.merge(task, 1, Integer::sum);
    Map<String, String> places = on.computeIfAbsent(task, key -> new HashMap<>());
    for (String other : places.keySet()) {
      if (!other.equals(machine)) {
        violation("ran_twice: task " + task + " starts on " + machine + " while it is on " + other);
      }
    }
    JsonNode job = jobs.get(jobOf(task));
    if (job.path("SamePlace").asBoolean()) {
      on.forEach(
          (otherTask, otherPlaces) -> {
            if (jobOf(otherTask).equals(jobOf(task)) && !otherTask.equals(task)) {
              otherPlaces.forEach(
                  (otherMachine, otherZone) -> {
                    if (!otherZone.equals(zone)) {
                      violation(
                          "wrong_place: task " + task + " starts on " + machine + " in " + zone
                              + " while task " + otherTask + " of the same SamePlace job is on "
                              + otherMachine + " in " + otherZone);
                    }
                  });
            }
          });
    }
    places.put(machine, zone);
  }

  synchronized void leave(String task, String machine, String why) {
    Map<String, String> places = on.get(task);
    if (places != null && places.remove(machine) != null) {
      Log.line("task %s leaves %s: %s", task, machine, why);
    }
  }

  synchronized void violation(String text) {
    violations.add(text);
    Log.line("RULE BROKEN %s", text);
  }
}
