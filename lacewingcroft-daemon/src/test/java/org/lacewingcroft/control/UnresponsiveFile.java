package org.lacewingcroft.control;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A file whose readers wait until it is closed, like those of a disk that does not respond; then it
 * does not exist. It is a named pipe without a writer.
 */
public final class UnresponsiveFile implements AutoCloseable {
  private final Path file;

  private UnresponsiveFile(Path file) {
    this.file = file;
  }

  /** Creates the file, and its folder if absent. */
  public static UnresponsiveFile create(Path file) throws IOException, InterruptedException {
    Files.createDirectories(file.getParent());
    Process process = new ProcessBuilder("mkfifo", file.toString()).start();
    if (process.waitFor() != 0) {
      throw new IOException("mkfifo failed for " + file);
    }
    return new UnresponsiveFile(file);
  }

  @Override
  public void close() throws IOException {
    // Moved before its readers go on, so that none of them finds it again.
    Path moved = Files.move(file, file.resolveSibling(file.getFileName() + ".closed"));
    // Opening a pipe for both directions never waits, and ends the wait of its readers.
    new RandomAccessFile(moved.toFile(), "rw").close();
    Files.delete(moved);
  }
}
