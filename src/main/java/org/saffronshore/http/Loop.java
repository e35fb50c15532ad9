package org.saffronshore.http;

/**
 * The one thread that owns all mutable state of a node, with its clock. Tests use a manual one in
 * place. Times are seconds of a steady clock that has no relation to the time of day.
 */
public interface Loop {

  /** A scheduled action that can be cancelled. */
  interface Timer {
    void cancel();
  }

  double now();

  /** The time of day in milliseconds, which other nodes have only roughly the same. */
  default long wallMs() {
    return System.currentTimeMillis();
  }

  Timer after(double seconds, Runnable action);

  /** Runs an action soon, after what is already waiting to be read from the network. */
  default void soon(Runnable action) {
    after(0, action);
  }

  /** Runs an action again and again, each time the given time after the last run ended. */
  default void every(double seconds, Runnable action) {
    after(
        seconds,
        () -> {
          try {
            action.run();
          } finally {
            every(seconds, action);
          }
        });
  }
}
