package org.lacewingcroft.lifecycle;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** The file descriptors of this process. */
public final class FileDescriptors {
  private FileDescriptors() {}

  /**
   * Returns how many files and connections the operating system lets the process have open; {@link
   * Long#MAX_VALUE} if it does not say.
   */
  public static long limit() {
    return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
        ? system.getMaxFileDescriptorCount()
        : Long.MAX_VALUE;
  }
}
