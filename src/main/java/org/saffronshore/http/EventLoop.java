package org.saffronshore.http;

/**
 * The one thread that owns all mutable state of a controller, with its clock. Tests use one whose
 * clock they move. Times are seconds of a steady clock that has no relation to the time of day.
 */
public interface EventLoop {

  /** A scheduled action that can be cancelled. */
  interface Timer {
    void cancel();
  }

  /** The steady clock, in seconds. */
  double now();

  /** The time of day in milliseconds; other controllers have it only roughly the same. */
  default long wallClockMs() {
    return System.currentTimeMillis();
  }

  /** Runs an action once, after some seconds. */
  Timer schedule(double seconds, Runnable action);

  /** Runs an action after what is already waiting to be read from the network. */
  default void execute(Runnable action) {
    schedule(0, action);
  }

  /** Runs an action repeatedly, each time the given number of seconds after the last run ended. */
  default void scheduleWithFixedDelay(double seconds, Runnable action) {
    schedule(
        seconds,
        () -> {
          try {
            action.run();
          } finally {
            scheduleWithFixedDelay(seconds, action);
          }
        });
  }
}
