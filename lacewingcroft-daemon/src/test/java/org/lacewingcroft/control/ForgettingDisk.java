package org.lacewingcroft.control;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/** A disk that loses what a failed sync covered, although it can still be read. */
final class ForgettingDisk implements DurableFile.Sync {
  private final Map<Object, byte[]> syncedByFile = new HashMap<>();
  private final Set<Object> forgotten = new HashSet<>();
  private int failingSyncs;

  private static Object key(Path file) throws IOException {
    return Files.readAttributes(file, BasicFileAttributes.class).fileKey();
  }

  @Override
  public synchronized void force(Path path, FileChannel channel) throws IOException {
    if (Files.isDirectory(path)) {
      return;
    }
    if (path.toString().endsWith(".tmp")) {
      // The number of a removed file may have been used again.
      forgotten.remove(key(path));
    }
    if (failingSyncs > 0) {
      failingSyncs--;
      forgotten.add(key(path));
      throw new IOException("disk failure");
    }
    if (!forgotten.contains(key(path))) {
      syncedByFile.put(key(path), Files.readAllBytes(path));
    }
  }

  /** Lets the next syncs of files fail. */
  synchronized void failSyncs(int count) {
    failingSyncs = count;
  }

  /** Leaves of a folder only what was synced. */
  synchronized void losePower(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.write(file, syncedByFile.getOrDefault(key(file), new byte[0]));
      }
    }
  }
}
