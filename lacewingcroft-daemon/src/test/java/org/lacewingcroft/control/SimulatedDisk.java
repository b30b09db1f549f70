package org.lacewingcroft.control;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * A folder on a disk that loses power at one of its syncs. Afterwards each write, created file and
 * renamed file since the last sync that covers it is present, missing or, sector by sector, both.
 */
final class SimulatedDisk implements DurableFile.Sync, AutoCloseable {
  private static final int SECTOR_BYTES = 512;

  /** Thrown by the sync at which the power fails, and by all later ones. */
  static final class PowerLossException extends IOException {
    private static final long serialVersionUID = 1L;
  }

  private final Path folder;
  private final Random random;
  private final Map<Object, byte[]> syncedBytes = new HashMap<>();
  private Map<String, Object> syncedNames = new HashMap<>();

  /** Open channels of all files, so that no removed file gives its key to a new one. */
  private final Map<Object, FileChannel> channels = new HashMap<>();

  private int syncsUntilLoss = Integer.MAX_VALUE;

  /**
   * Creates a disk whose folder has its present content.
   *
   * @param folder a folder without subfolders
   * @param random decides what a loss of power leaves
   */
  SimulatedDisk(Path folder, Random random) throws IOException {
    this.folder = folder;
    this.random = random;
    for (Path file : files()) {
      syncFile(file);
    }
    syncedNames = names();
  }

  /** Lets the power fail at one of the next syncs. */
  void failAtSync(int syncs) {
    syncsUntilLoss = syncs;
  }

  @Override
  public void force(Path path, FileChannel channel) throws IOException {
    syncsUntilLoss--;
    boolean lost = syncsUntilLoss <= 0;
    boolean completed = syncsUntilLoss == 0 && random.nextBoolean();
    if (!lost || completed) {
      if (path.equals(folder)) {
        syncedNames = names();
      } else {
        syncFile(path);
      }
    }
    if (lost) {
      remember();
      throw new PowerLossException();
    }
  }

  /** Writes what the loss of power leaves of the folder to another one. */
  void writeRemainderTo(Path target) throws IOException {
    remember();
    Map<String, Object> writtenNames = names();
    boolean allLost = random.nextInt(4) == 0;
    Set<String> allNames = new TreeSet<>(syncedNames.keySet());
    allNames.addAll(writtenNames.keySet());
    Files.createDirectories(target);
    for (String name : allNames) {
      boolean kept = !allLost && random.nextBoolean();
      Object key = (kept ? writtenNames : syncedNames).get(name);
      if (key != null) {
        Files.write(target.resolve(name), remainder(key, allLost));
      }
    }
  }

  private byte[] remainder(Object key, boolean allLost) throws IOException {
    byte[] synced = syncedBytes.getOrDefault(key, new byte[0]);
    byte[] written = content(key);
    if (allLost || Arrays.equals(synced, written)) {
      return synced;
    }
    int shorter = Math.min(synced.length, written.length);
    int longer = Math.max(synced.length, written.length);
    int[] lengths = {
      synced.length, written.length, written.length, shorter + random.nextInt(longer - shorter + 1)
    };
    byte[] result = Arrays.copyOf(synced, lengths[random.nextInt(lengths.length)]);
    int missingOf4 = random.nextInt(5);
    for (int from = 0; from < result.length; from += SECTOR_BYTES) {
      int to = Math.min(Math.min(from + SECTOR_BYTES, result.length), written.length);
      int tornTo = random.nextInt(8) == 0 ? from + random.nextInt(SECTOR_BYTES) : to;
      if (random.nextInt(4) >= missingOf4 && from < Math.min(to, tornTo)) {
        System.arraycopy(written, from, result, from, Math.min(to, tornTo) - from);
      }
    }
    return result;
  }

  private Iterable<Path> files() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.toList();
    }
  }

  private Map<String, Object> names() throws IOException {
    Map<String, Object> names = new HashMap<>();
    for (Path file : files()) {
      names.put(file.getFileName().toString(), key(file));
    }
    return names;
  }

  private void remember() throws IOException {
    for (Path file : files()) {
      key(file);
    }
  }

  private Object key(Path file) throws IOException {
    Object key = Files.readAttributes(file, BasicFileAttributes.class).fileKey();
    if (!channels.containsKey(key)) {
      channels.put(key, FileChannel.open(file, StandardOpenOption.READ));
    }
    return key;
  }

  private void syncFile(Path file) throws IOException {
    Object key = key(file);
    syncedBytes.put(key, content(key));
  }

  private byte[] content(Object key) throws IOException {
    FileChannel channel = channels.get(key);
    ByteBuffer bytes = ByteBuffer.allocate((int) channel.size());
    while (bytes.hasRemaining() && channel.read(bytes, bytes.position()) >= 0) {
      // Reads on.
    }
    return bytes.array();
  }

  @Override
  public void close() throws IOException {
    for (FileChannel channel : channels.values()) {
      channel.close();
    }
  }
}
