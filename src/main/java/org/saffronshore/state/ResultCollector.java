package org.saffronshore.state;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Collects the results for some jobs, and hands them on once all are there. */
final class ResultCollector<T> {
  private final int expected;
  private final Map<String, T> results = new HashMap<>();
  private final Consumer<Map<String, T>> callback;

  /**
   * Starts without any result.
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
