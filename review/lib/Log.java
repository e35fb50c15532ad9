import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what happens to record.txt, one line per event, with the seconds since the start. */
final class Log {
  private static final long START = System.nanoTime();
  private static PrintWriter out;

  private Log() {}

  static void open(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file), true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static double now() {
    return (System.nanoTime() - START) / 1e9;
  }

  static synchronized void line(String format, Object... args) {
    String text = String.format(Locale.ROOT, "%8.3f %s", now(), String.format(Locale.ROOT, format, args));
    if (out != null) {
      out.println(text);
    }
    System.out.println(text);
  }
}
