package org.saffronshore.state;

import org.saffronshore.http.EventLoop;

/**
 * Whether the state service responds to this controller. Any request of this process shows it; when
 * there was no response for a while, a small key is read to find out.
 */
public final class StateServiceMonitor {
  private final EventLoop loop;
  private final StateClient state;
  private final double maxSilenceS;
  private final double probeIntervalS;

  /**
   * @param maxSilenceS without a response for so long the state service counts as unavailable
   */
  public StateServiceMonitor(EventLoop loop, StateClient state, double maxSilenceS) {
    this.loop = loop;
    this.state = state;
    this.maxSilenceS = maxSilenceS;
    this.probeIntervalS = maxSilenceS / 3;
  }

  /** Begins to probe. */
  public void start() {
    loop.scheduleWithFixedDelay(probeIntervalS, this::probe);
  }

  /** Whether the state service responded to this controller a moment ago. */
  public boolean isAvailable() {
    return lastResponseAgeS() < maxSilenceS;
  }

  /** When the state service last responded, on the clock of the event loop. */
  public double lastResponseAt() {
    return state.lastResponseAt();
  }

  /** How many seconds ago the state service last responded. */
  public double lastResponseAgeS() {
    return loop.now() - state.lastResponseAt();
  }

  private void probe() {
    if (lastResponseAgeS() > probeIntervalS) {
      // Only that a response arrives matters, and the client notes when one does.
      state.get(Keys.TERM, RequestPriority.VITAL, result -> {});
    }
  }
}
