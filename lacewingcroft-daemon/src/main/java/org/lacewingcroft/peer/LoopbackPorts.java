package org.lacewingcroft.peer;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Allocates free ports for a program that starts a whole deployment on this machine and needs the
 * addresses before anything listens on them.
 *
 * <p>The ports are below the ephemeral range, from which the kernel assigns ports to outgoing
 * connections. A port obtained by binding port 0 and releasing it is in that range, so an outgoing
 * connection may take it before its listener does.
 *
 * <p>An allocated port stays reserved until the process ends, so that no other process allocates it
 * before its listener is started or while its listener is restarted. The reservation is a bound
 * socket that does not listen: it refuses connections, and listeners with {@code SO_REUSEADDR} can
 * bind the port.
 */
public final class LoopbackPorts {
  /** The lowest port allocated, above most ports that are registered for well-known services. */
  static final int MIN_PORT = 20_000;

  /** One above the highest port allocated: the ephemeral range starts at 32768 on Linux. */
  static final int MAX_PORT_EXCLUSIVE = 32_000;

  private static final int MAX_ATTEMPTS = 1_000;

  /** The sockets that reserve the allocated ports; they are closed when the process ends. */
  private static final List<SocketChannel> RESERVATIONS = new ArrayList<>();

  private LoopbackPorts() {}

  /**
   * Returns a port that is free on every local address. It is not returned again in this process.
   *
   * @throws IOException if no free port is found
   */
  public static int allocatePort() throws IOException {
    return allocateConsecutivePorts(1);
  }

  /**
   * Returns the first of a range of consecutive ports that are free on every local address. None of
   * them is returned again in this process.
   *
   * @param count the number of ports
   * @throws IOException if no such range is found
   */
  public static synchronized int allocateConsecutivePorts(int count) throws IOException {
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      int first = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT_EXCLUSIVE - count + 1);
      Optional<List<SocketChannel>> reserved = tryReserve(first, count);
      if (reserved.isPresent()) {
        RESERVATIONS.addAll(reserved.get());
        return first;
      }
    }
    throw new BindException(
        "no "
            + count
            + " consecutive ports are free from "
            + MIN_PORT
            + " to "
            + (MAX_PORT_EXCLUSIVE - 1));
  }

  private static Optional<List<SocketChannel>> tryReserve(int first, int count) throws IOException {
    List<SocketChannel> reserved = new ArrayList<>();
    for (int port = first; port < first + count; port++) {
      Optional<SocketChannel> reservation = tryReserve(port);
      if (reservation.isEmpty()) {
        for (SocketChannel socket : reserved) {
          socket.close();
        }
        return Optional.empty();
      }
      reserved.add(reservation.get());
    }
    return Optional.of(reserved);
  }

  private static Optional<SocketChannel> tryReserve(int port) throws IOException {
    SocketChannel socket = SocketChannel.open();
    try {
      // Without SO_REUSEADDR, the bind fails if any socket is bound to the port, also one that only
      // reserves it. Set afterwards, the option lets the listener bind.
      socket.setOption(StandardSocketOptions.SO_REUSEADDR, false);
      socket.bind(new InetSocketAddress(port));
      socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      return Optional.of(socket);
    } catch (IOException e) {
      socket.close();
      return Optional.empty();
    }
  }
}
