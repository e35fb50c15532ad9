package org.saffronshore.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.wire.Priority;

class DependencyGraphTest {
  private final DependencyGraph graph = new DependencyGraph();

  /**
   * Adds the jobs of a script. Each job is its name, the first letter of its priority, and the
   * names of its dependencies: "c u a b".
   */
  private void add(String script) {
    for (String job : script.split(", ", -1)) {
      String[] words = job.split(" ");
      Priority own =
          switch (words[1]) {
            case "i" -> Priority.IDLE;
            case "s" -> Priority.STANDARD;
            case "u" -> Priority.URGENT;
            default -> Priority.CRITICAL;
          };
      graph.add(words[0], own, List.of(words).subList(2, words.length));
    }
  }

  /** Ends the jobs of a script: "a+" is done, "a-" cancelled, "a" ended with an unknown outcome. */
  private void end(String script) {
    for (String end : script.isEmpty() ? new String[0] : script.split(" ")) {
      String job = end.replaceAll("[+-]", "");
      if (!job.equals(end)) {
        graph.jobEnded(job, end.endsWith("+"), 1000 * job.charAt(0));
      }
      graph.remove(job);
    }
  }

  private static String sorted(Iterable<String> names) {
    TreeSet<String> all = new TreeSet<>();
    names.forEach(all::add);
    return String.join(" ", all);
  }

  @ParameterizedTest
  @CsvSource({
    "'a i, b i, c u a b', '', 'a b', ''",
    "'a i, b i, c u a b', 'a+', 'b', ''",
    "'a i, b i, c u a b', 'a+ b+', 'c', ''",
    "'a i, b i, c u a b', 'a+ b', '', 'b'", // The outcome of b is unknown; c waits for it.
    "'c u a', '', '', 'a'", // After a failover: a is no longer open.
    "'b i a, c u b', 'a+', 'b', ''",
    "'a i, c u a, d u a', 'a+', 'c d', ''"
  })
  void jobIsReadyOnceAllItsDependenciesAreDone(
      String jobs, String ends, String ready, String unknown) {
    add(jobs);
    end(ends);
    List<String> open = new ArrayList<>(List.of("a", "b", "c", "d"));
    open.removeIf(job -> !jobs.matches("(.*, )?" + job + " .*") || ends.contains(job));
    open.removeIf(job -> !graph.isReady(job));
    assertEquals(ready, sorted(open));
    assertEquals(unknown, sorted(graph.jobsWithUnknownOutcome()));
  }

  @ParameterizedTest
  @CsvSource({
    "'a i, b i a, c u b, d u', 'a-', 'b c'",
    "'a i, b i a, c i a, d u b c', 'b-', 'd'", // a and c do not depend on b.
    "'a i, b i a, c i a, d u b c', 'a+ b-', 'd'",
    "'a i, b i a', 'a+', ''",
    "'b i a, c i b', 'a-', 'b c'"
  })
  void jobIsCancelledWhenAnyDependencyIsCancelled(String jobs, String ends, String cancelled) {
    add(jobs);
    end(ends);
    assertEquals(cancelled, sorted(graph.jobsToCancel()));
  }

  /** An open job raises the priority of its dependencies; a job that has ended does not. */
  @ParameterizedTest
  @CsvSource({
    "'a i, b s a, c u b', '', 'a=URGENT b=URGENT c=URGENT'",
    "'a i, b s a, c u b', 'c-', 'a=STANDARD b=STANDARD'",
    "'a c, b s a, c u b', '', 'a=CRITICAL b=URGENT c=URGENT'",
    "'a i, b i, c u b', '', 'a=IDLE b=URGENT c=URGENT'",
    "'a i, b i a, c i a, d s b, e u c', '', 'a=URGENT b=STANDARD c=URGENT d=STANDARD e=URGENT'"
  })
  void effectivePriorityIsHighestOfJobAndItsDependents(
      String jobs, String ends, String priorities) {
    add(jobs);
    graph.recomputeEffectivePriorities();
    end(ends);
    add("z i");
    Map<String, Priority> all = new TreeMap<>(graph.recomputeEffectivePriorities());
    if (all.isEmpty()) {
      add("y i z");
      all.putAll(graph.recomputeEffectivePriorities());
    }
    all.keySet().removeIf(job -> job.compareTo("y") >= 0);
    assertEquals(priorities, all.toString().replaceAll("[{},]", ""));
    assertTrue(
        graph.recomputeEffectivePriorities().isEmpty(),
        "no priority has changed since the last call");
  }

  @Test
  void readyTimeIsLatestCompletionTimeOfDependencies() {
    add("a i, b i, c u a b");
    end("b+ a+");
    assertEquals(1000 * 'b', graph.readyAtMs("c"));
    assertEquals(0, graph.waitingJobCount());
  }

  /**
   * Users may submit graphs this deep and wide. Recursion would overflow the call stack, and
   * visiting jobs more than once would take too long.
   */
  @Test
  void deepAndWideGraphIsProcessedWithoutRecursion() {
    int jobs = 20_000;
    for (int i = 1; i < jobs; i++) {
      graph.add("j" + i, i == jobs - 1 ? Priority.CRITICAL : Priority.IDLE, List.of("j" + (i - 1)));
      graph.add("w" + i, Priority.IDLE, List.of("j0"));
    }
    assertEquals(Priority.CRITICAL, graph.recomputeEffectivePriorities().get("j1"));
    graph.jobEnded("j0", false, 0);
    assertEquals(2 * (jobs - 1), graph.jobsToCancel().size());
    assertFalse(graph.isReady("j1"));
  }
}
