package org.lacewingcroft.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that allocated ports stay free for their listeners, also while connections are opened. */
class LoopbackPortsTest {
  private static final int CONNECTIONS = 400;

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 8})
  void outgoingConnectionsDoNotUseAllocatedPorts(int count) throws IOException {
    Set<Integer> ephemeralPorts = new HashSet<>();
    List<Socket> connections = new ArrayList<>();
    try (ServerSocket server = new ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress())) {
      int first = LoopbackPorts.allocateConsecutivePorts(count);
      for (int i = 0; i < CONNECTIONS; i++) {
        Socket connection = new Socket(server.getInetAddress(), server.getLocalPort());
        connections.add(connection);
        ephemeralPorts.add(connection.getLocalPort());
      }
      for (int port = first; port < first + count; port++) {
        assertThat(ephemeralPorts.contains(port), is(false));
        try (ServerSocket listener =
            new ServerSocket(port, 1, InetAddress.getByName("127.0.0.2"))) {
          assertThat(listener.isBound(), is(true));
        }
      }
      assertThat(ephemeralPorts, everyItem(greaterThanOrEqualTo(LoopbackPorts.MAX_PORT_EXCLUSIVE)));
    } finally {
      for (Socket connection : connections) {
        connection.close();
      }
    }
  }

  @Test
  void allocatesNoPortTwice() throws IOException {
    Set<Integer> allocated = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      allocated.add(LoopbackPorts.allocatePort());
    }
    assertThat(allocated, hasSize(200));
    assertThat(allocated, everyItem(greaterThanOrEqualTo(LoopbackPorts.MIN_PORT)));
    assertThat(allocated, everyItem(lessThan(LoopbackPorts.MAX_PORT_EXCLUSIVE)));
  }

  /** A port with a listener on one local address is not allocated, even if others are free. */
  @Test
  void skipsPortsInUse() throws IOException {
    int first = LoopbackPorts.allocateConsecutivePorts(2);
    try (ServerSocket inUse = new ServerSocket(first, 1, InetAddress.getByName("127.0.0.3"))) {
      Set<Integer> allocated = new HashSet<>();
      for (int i = 0; i < 100; i++) {
        allocated.add(LoopbackPorts.allocatePort());
      }
      assertThat(allocated.contains(inUse.getLocalPort()), is(false));
    }
  }

  /** Guards against another process that allocates a port while its listener is restarted. */
  @ParameterizedTest
  @ValueSource(strings = {"0.0.0.0", "127.0.0.1"})
  void portStaysReservedWhileItsListenerIsRestarted(String host) throws IOException {
    int port = LoopbackPorts.allocatePort();
    InetAddress address = InetAddress.getByName(host);
    for (int i = 0; i < 2; i++) {
      new ServerSocket(port, 1, address).close();
      try (ServerSocket other = new ServerSocket()) {
        other.setReuseAddress(false);
        assertThrows(BindException.class, () -> other.bind(new InetSocketAddress(address, port)));
      }
    }
  }
}
