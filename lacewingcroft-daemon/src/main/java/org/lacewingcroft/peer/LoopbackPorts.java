package org.lacewingcroft.peer;

import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Free ports for a program that starts a whole deployment on this machine and has to know the
 * addresses before anything listens.
 *
 * <p>The ports lie below those that the kernel gives to outgoing connections. A port that was asked
 * for as port 0 and released comes from that range, and a connection may take it before its
 * listener does.
 */
public final class LoopbackPorts {
  /** The lowest port given, above those that well-known services register most. */
  static final int LOWEST = 20_000;

  /** One above the highest port given: outgoing connections begin at 32768 on Linux. */
  static final int END = 32_000;

  private static final int TRIES = 1_000;
  private static final Set<Integer> GIVEN = new HashSet<>();

  private LoopbackPorts() {}

  /**
   * Returns a port that is free at every local address, and is not returned again in this process.
   *
   * @throws IOException if none is found
   */
  public static int allocatePort() throws IOException {
    return allocateConsecutivePorts(1);
  }

  /**
   * Returns the first of some neighbouring ports that are free at every local address, and are not
   * returned again in this process.
   *
   * @param count how many neighbours
   * @throws IOException if none are found
   */
  public static synchronized int allocateConsecutivePorts(int count) throws IOException {
    for (int i = 0; i < TRIES; i++) {
      int first = ThreadLocalRandom.current().nextInt(LOWEST, END - count + 1);
      if (areFree(first, count)) {
        for (int port = first; port < first + count; port++) {
          GIVEN.add(port);
        }
        return first;
      }
    }
    throw new BindException(
        "no " + count + " neighbouring ports are free from " + LOWEST + " to " + (END - 1));
  }

  private static boolean areFree(int first, int count) {
    for (int port = first; port < first + count; port++) {
      if (GIVEN.contains(port) || !isFree(port)) {
        return false;
      }
    }
    return true;
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port)) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
