package org.saffronshore.state;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Collects one result per job, and passes all of them to a callback once they are complete. */
final class ResultCollector<T> {
  private final int expected;
  private final Map<String, T> results = new HashMap<>();
  private final Consumer<Map<String, T>> callback;

  /**
   * Creates a collector without results.
   *
   * @param expected the number of jobs
   */
  ResultCollector(int expected, Consumer<Map<String, T>> callback) {
    this.expected = expected;
    this.callback = callback;
  }

  void add(String job, T result) {
    results.put(job, result);
    if (results.size() == expected) {
      callback.accept(results);
    }
  }
}
