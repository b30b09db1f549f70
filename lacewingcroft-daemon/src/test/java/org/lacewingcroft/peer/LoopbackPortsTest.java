package org.lacewingcroft.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Ports found free stay free until their listener comes, whatever connects meanwhile. */
class LoopbackPortsTest {
  private static final int CONNECTIONS = 400;

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 8})
  void portsGivenAreNotTakenByOutgoingConnections(int count) throws IOException {
    Set<Integer> local = new HashSet<>();
    List<Socket> connections = new ArrayList<>();
    try (ServerSocket server = new ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress())) {
      int first = LoopbackPorts.allocateConsecutivePorts(count);
      for (int i = 0; i < CONNECTIONS; i++) {
        Socket connection = new Socket(server.getInetAddress(), server.getLocalPort());
        connections.add(connection);
        local.add(connection.getLocalPort());
      }
      for (int port = first; port < first + count; port++) {
        assertThat(local.contains(port), is(false));
        try (ServerSocket late = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.2"))) {
          assertThat(late.isBound(), is(true));
        }
      }
      assertThat(local, everyItem(greaterThanOrEqualTo(LoopbackPorts.END)));
    } finally {
      for (Socket connection : connections) {
        connection.close();
      }
    }
  }

  @Test
  void noPortIsGivenTwice() throws IOException {
    Set<Integer> given = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      given.add(LoopbackPorts.allocatePort());
    }
    assertThat(given, hasSize(200));
    assertThat(given, everyItem(greaterThanOrEqualTo(LoopbackPorts.LOWEST)));
    assertThat(given, everyItem(lessThan(LoopbackPorts.END)));
  }

  /** A listener at one local address makes the port unfit, for another address too. */
  @Test
  void portsInUseArePassedOver() throws IOException {
    int first = LoopbackPorts.allocateConsecutivePorts(2);
    try (ServerSocket taken = new ServerSocket(first, 1, InetAddress.getByName("127.0.0.3"))) {
      Set<Integer> given = new HashSet<>();
      for (int i = 0; i < 100; i++) {
        given.add(LoopbackPorts.allocatePort());
      }
      assertThat(given.contains(taken.getLocalPort()), is(false));
    }
  }
}
