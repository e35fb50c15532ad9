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
import java.util.function.DoubleSupplier;
import org.HdrHistogram.Histogram;

/**
 * What a node counts. Counting is plain arithmetic on the loop; the registry is only made when
 * somebody asks for the metrics, since it would add to every start otherwise.
 */
public final class Metrics {

  /** Counters, with the names that operators see. */
  public enum Counter {
    SUBMITTED("jobs_submitted"),
    REFUSED("requests_refused"),
    REPORTS("worker_reports"),
    REDIRECTED("worker_reports_redirected"),
    RELAYED("worker_reports_relayed"),
    CYCLES("scheduling_cycles"),
    PLACED("tasks_placed"),
    STOPPED("tasks_stopped"),
    RENTED("machines_rented"),
    RETURNED("machines_returned"),
    TERMS("terms_led");

    private final String name;

    Counter(String name) {
      this.name = name;
    }
  }

  /** Histograms of durations, with the names that operators see. */
  public enum Latency {
    SUBMIT("submit"),
    POLL("poll"),
    REPORT("report"),
    CYCLE("cycle"),
    LOOP("loop_delay");

    private final String name;

    Latency(String name) {
      this.name = name;
    }
  }

  private static final String PREFIX = "saffronshore.";
  private static final double[] QUANTILES = {0.5, 0.9, 0.99, 1.0};
  private static final long MAX_MICROS = 60_000_000L;

  private final Map<Counter, long[]> counts = new EnumMap<>(Counter.class);
  private final Map<Latency, Histogram> latencies = new EnumMap<>(Latency.class);
  private final List<TaggedValue> tagged = new ArrayList<>();

  /** A gauge, or a counter, that stands once for each value of some tags. */
  private record TaggedValue(String name, Tags tags, boolean counts, DoubleSupplier value) {}

  private PrometheusMeterRegistry registry;

  /** Starts with every counter at zero. */
  public Metrics() {
    for (Counter c : Counter.values()) {
      counts.put(c, new long[1]);
    }
    for (Latency l : Latency.values()) {
      latencies.put(l, new Histogram(MAX_MICROS, 2));
    }
  }

  public void increment(Counter count, long n) {
    counts.get(count)[0] += n;
  }

  public long value(Counter count) {
    return counts.get(count)[0];
  }

  public void recordLatency(Latency latency, double seconds) {
    latencies.get(latency).recordValue(Math.min(MAX_MICROS, Math.max(0, (long) (seconds * 1e6))));
  }

  /** Adds a gauge; its name must be new. */
  public void gauge(String name, DoubleSupplier value) {
    tagged.add(new TaggedValue(name, Tags.empty(), false, value));
  }

  /**
   * Adds one gauge of several with the same name.
   *
   * @param tags names and values in turn
   */
  public void gauge(String name, DoubleSupplier value, String... tags) {
    tagged.add(new TaggedValue(name, Tags.of(tags), false, value));
  }

  /** Adds one counter of several with the same name; its value must never fall. */
  public void counter(String name, DoubleSupplier value, String... tags) {
    tagged.add(new TaggedValue(name, Tags.of(tags), true, value));
  }

  /** All metrics in the text form that Prometheus reads. */
  public String scrape() {
    if (registry == null) {
      registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      counts.forEach(
          (c, n) -> FunctionCounter.builder(PREFIX + c.name, n, v -> v[0]).register(registry));
      tagged.forEach(this::register);
      latencies.forEach(
          (l, h) -> {
            for (double q : QUANTILES) {
              Gauge.builder(
                      PREFIX + l.name + ".seconds", h, v -> v.getValueAtPercentile(q * 100) / 1e6)
                  .tags(Tags.of("quantile", Double.toString(q)))
                  .register(registry);
            }
            FunctionCounter.builder(PREFIX + l.name + ".count", h, Histogram::getTotalCount)
                .register(registry);
          });
    }
    return registry.scrape();
  }

  private void register(TaggedValue t) {
    if (t.counts) {
      FunctionCounter.builder(PREFIX + t.name, t.value, DoubleSupplier::getAsDouble)
          .tags(t.tags)
          .register(registry);
    } else {
      Gauge.builder(PREFIX + t.name, t.value, DoubleSupplier::getAsDouble)
          .tags(t.tags)
          .register(registry);
    }
  }
}
