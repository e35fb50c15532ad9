package lab;

/**
 * The network between one controller and one service. While it holds, requests wait and are
 * delivered late, in order; while it refuses, requests get 503.
 */
public final class Gate {
  /** What happens to requests. */
  public enum Mode {
    OPEN,
    REFUSE,
    HOLD
  }

  public final String name;
  private Mode mode = Mode.OPEN;

  public Gate(String name) {
    this.name = name;
  }

  public synchronized void set(Mode newMode) {
    mode = newMode;
    notifyAll();
  }

  public synchronized Mode mode() {
    return mode;
  }

  /** Waits while the gate holds; returns whether the request was delivered late. */
  public synchronized boolean pass() throws InterruptedException {
    boolean late = false;
    while (mode == Mode.HOLD) {
      late = true;
      wait();
    }
    return late;
  }
}
