package lab;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start in seconds. */
public final class Recorder implements AutoCloseable {
  private final long startedAt = System.nanoTime();
  private final PrintWriter out;

  public Recorder(Path file) throws IOException {
    this.out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the seconds since the start. */
  public double now() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  public synchronized void log(String format, Object... arguments) {
    String text = arguments.length == 0 ? format : String.format(Locale.ROOT, format, arguments);
    out.printf(Locale.ROOT, "%8.3f %s%n", now(), text);
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
