package org.saffronshore.state;

import org.saffronshore.http.EventLoop;

/**
 * Monitors whether the state service responds to this controller. The response to any request of
 * this process counts, provided that it has a status below 429. When there has been none for a
 * while, the monitor reads a small key as a probe.
 */
public final class StateServiceMonitor {
  private final EventLoop loop;
  private final StateClient state;
  private final double maxSilenceS;
  private final double probeIntervalS;

  /**
   * Creates a monitor.
   *
   * @param maxSilenceS the number of seconds without a response after which the state service
   *     counts as unavailable
   */
  public StateServiceMonitor(EventLoop loop, StateClient state, double maxSilenceS) {
    this.loop = loop;
    this.state = state;
    this.maxSilenceS = maxSilenceS;
    this.probeIntervalS = maxSilenceS / 3;
  }

  /** Starts to probe. */
  public void start() {
    loop.scheduleWithFixedDelay(probeIntervalS, this::probe);
  }

  /** Returns whether the last response of the state service is recent enough. */
  public boolean isAvailable() {
    return lastResponseAgeS() < maxSilenceS;
  }

  /** Returns when the state service last responded, in seconds on the event loop's clock. */
  public double lastResponseAt() {
    return state.lastResponseAt();
  }

  /** Returns the number of seconds since the state service last responded. */
  public double lastResponseAgeS() {
    return loop.now() - state.lastResponseAt();
  }

  private void probe() {
    if (lastResponseAgeS() > probeIntervalS) {
      // The result does not matter: the client records when a response arrives.
      state.get(Keys.TERM, RequestPriority.VITAL, result -> {});
    }
  }
}
