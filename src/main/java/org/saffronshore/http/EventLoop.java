package org.saffronshore.http;

/**
 * The one thread that owns all mutable state of a node, with its clock. Tests use a manual one in
 * place. Times are seconds of a steady clock that has no relation to the time of day.
 */
public interface EventLoop {

  /** A scheduled action that can be cancelled. */
  interface Timer {
    void cancel();
  }

  double now();

  /** The time of day in milliseconds, which other nodes have only roughly the same. */
  default long wallClockMs() {
    return System.currentTimeMillis();
  }

  Timer schedule(double seconds, Runnable action);

  /** Runs an action soon, after what is already waiting to be read from the network. */
  default void execute(Runnable action) {
    schedule(0, action);
  }

  /** Runs an action again and again, each time the given time after the last run ended. */
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
