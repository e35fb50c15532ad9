package org.saffronshore.http;

/**
 * The single thread that owns all mutable state of a controller, with its clock. Tests use an
 * implementation whose clock they advance. Times are seconds on a monotonic clock that has no
 * relation to the time of day.
 */
public interface EventLoop {

  /** A scheduled action that can be cancelled. */
  interface Timer {
    void cancel();
  }

  /** Returns the current time of the monotonic clock, in seconds. */
  double now();

  /**
   * Returns the time of day in milliseconds since the epoch. The clocks of different controllers
   * agree only roughly.
   */
  default long wallClockMs() {
    return System.currentTimeMillis();
  }

  /** Runs an action once, after a delay in seconds. */
  Timer schedule(double delayS, Runnable action);

  /**
   * Runs an action as soon as possible, after the actions that have already been submitted. An
   * action that is submitted while the network is being read runs after that read.
   */
  default void execute(Runnable action) {
    schedule(0, action);
  }

  /**
   * Runs an action repeatedly. The first run starts after the given delay in seconds, each further
   * run the same delay after the previous run ended, even if that run threw an exception.
   */
  default void scheduleWithFixedDelay(double delayS, Runnable action) {
    schedule(
        delayS,
        () -> {
          try {
            action.run();
          } finally {
            scheduleWithFixedDelay(delayS, action);
          }
        });
  }
}
