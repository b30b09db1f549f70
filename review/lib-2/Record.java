import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: one line for each event, with the time since the start in seconds. */
final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void line(String format, Object... arguments) {
    out.println(
        String.format(Locale.ROOT, "%8.3f ", seconds())
            + String.format(Locale.ROOT, format, arguments));
  }

  /** Writes a line of the result, which is also printed. */
  void result(String format, Object... arguments) {
    line(format, arguments);
    System.out.println(String.format(Locale.ROOT, format, arguments));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
