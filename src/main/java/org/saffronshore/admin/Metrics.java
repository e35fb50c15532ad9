package org.saffronshore.admin;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.DoubleSupplier;
import org.HdrHistogram.Histogram;
import org.jspecify.annotations.Nullable;

/**
 * The metrics of a controller. Counting is plain arithmetic on the event loop. The Micrometer
 * registry is created by the first scrape and not at start-up, because creating it would delay
 * every start.
 */
public final class Metrics {

  /** The counters, with the names under which they are exposed. */
  public enum Counter {
    JOBS_SUBMITTED("jobs_submitted"),
    REQUESTS_REFUSED("requests_refused"),
    HEARTBEATS("worker_reports"),
    HEARTBEATS_REDIRECTED("worker_reports_redirected"),
    HEARTBEATS_RELAYED("worker_reports_relayed"),
    SCHEDULING_CYCLES("scheduling_cycles"),
    TASKS_PLACED("tasks_placed"),
    TASKS_STOPPED("tasks_stopped"),
    MACHINES_RENTED("machines_rented"),
    MACHINES_RETURNED("machines_returned"),
    TERMS_LED("terms_led");

    private final String name;

    Counter(String name) {
      this.name = name;
    }
  }

  /** The histograms of durations, with the names under which they are exposed. */
  public enum Latency {
    SUBMIT("submit"),
    POLL("poll"),
    HEARTBEAT("report"),
    CYCLE("cycle"),
    EVENT_LOOP_DELAY("loop_delay");

    private final String name;

    Latency(String name) {
      this.name = name;
    }
  }

  private static final String PREFIX = "saffronshore.";
  private static final double[] QUANTILES = {0.5, 0.9, 0.99, 1.0};
  private static final double MICROS_PER_S = 1e6;
  private static final long MAX_MICROS = 60_000_000L;

  private final Map<Counter, long[]> counts = new EnumMap<>(Counter.class);
  private final Map<Latency, Histogram> latencies = new EnumMap<>(Latency.class);
  private final List<FunctionMetric> functionMetrics = new ArrayList<>();

  /** A gauge or counter whose value is read from a function at each scrape. */
  private record FunctionMetric(String name, Tags tags, boolean isCounter, DoubleSupplier value) {}

  /** The Micrometer registry; null until the first scrape. */
  private @Nullable PrometheusMeterRegistry registry;

  /** Creates the metrics with all counters at zero. */
  public Metrics() {
    for (Counter counter : Counter.values()) {
      counts.put(counter, new long[1]);
    }
    for (Latency latency : Latency.values()) {
      latencies.put(latency, new Histogram(MAX_MICROS, 2));
    }
  }

  /** Adds an amount to a counter. */
  public void increment(Counter counter, long amount) {
    cell(counter)[0] += amount;
  }

  /** Returns the current value of a counter. */
  public long value(Counter counter) {
    return cell(counter)[0];
  }

  private long[] cell(Counter counter) {
    return Objects.requireNonNull(counts.get(counter), "counter without a value");
  }

  /** Records a duration in seconds. */
  public void recordLatency(Latency latency, double seconds) {
    long micros = (long) (seconds * MICROS_PER_S);
    Objects.requireNonNull(latencies.get(latency), "latency without a histogram")
        .recordValue(Math.min(MAX_MICROS, Math.max(0, micros)));
  }

  /** Registers a gauge without tags; its name must not be in use. */
  public void gauge(String name, DoubleSupplier value) {
    functionMetrics.add(new FunctionMetric(name, Tags.empty(), false, value));
  }

  /**
   * Registers a gauge that shares its name with gauges that have other tag values.
   *
   * @param tags tag names and values, alternating
   */
  public void gauge(String name, DoubleSupplier value, String... tags) {
    functionMetrics.add(new FunctionMetric(name, Tags.of(tags), false, value));
  }

  /**
   * Registers a counter that shares its name with counters that have other tag values.
   *
   * @param value supplies the count; it must never decrease
   * @param tags tag names and values, alternating
   */
  public void counter(String name, DoubleSupplier value, String... tags) {
    functionMetrics.add(new FunctionMetric(name, Tags.of(tags), true, value));
  }

  /** Returns all metrics in the Prometheus text format. */
  public String scrape() {
    if (registry == null) {
      registry = registerAll();
    }
    return registry.scrape();
  }

  private PrometheusMeterRegistry registerAll() {
    PrometheusMeterRegistry created = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    counts.forEach(
        (counter, cell) ->
            FunctionCounter.builder(PREFIX + counter.name, cell, value -> value[0])
                .register(created));
    functionMetrics.forEach(metric -> register(metric, created));
    latencies.forEach((latency, histogram) -> register(latency, histogram, created));
    return created;
  }

  private static void register(
      Latency latency, Histogram histogram, PrometheusMeterRegistry registry) {
    for (double quantile : QUANTILES) {
      Gauge.builder(
              PREFIX + latency.name + ".seconds",
              histogram,
              values -> values.getValueAtPercentile(quantile * 100) / MICROS_PER_S)
          .tags(Tags.of("quantile", Double.toString(quantile)))
          .register(registry);
    }
    FunctionCounter.builder(PREFIX + latency.name + ".count", histogram, Histogram::getTotalCount)
        .register(registry);
  }

  private static void register(FunctionMetric metric, PrometheusMeterRegistry registry) {
    if (metric.isCounter) {
      FunctionCounter.builder(PREFIX + metric.name, metric.value, DoubleSupplier::getAsDouble)
          .tags(metric.tags)
          .register(registry);
    } else {
      Gauge.builder(PREFIX + metric.name, metric.value, DoubleSupplier::getAsDouble)
          .tags(metric.tags)
          .register(registry);
    }
  }
}
