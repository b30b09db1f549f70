package org.lacewingcroft.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.membership.Gossiper;
import org.lacewingcroft.membership.Heartbeat;

/** Guards against a daemon that treats the time it was frozen as missed heartbeats of others. */
class MembershipTest {
  private static final Duration INTERVAL = Duration.ofSeconds(1);
  private static final int CONVERGENCE_INTERVALS = 12;
  private final Vertx vertx = Vertx.vertx();
  private final PeerTransport transport =
      new PeerTransport(vertx, new FrameCodec("0123456789abcdef".getBytes(StandardCharsets.UTF_8)));
  private Instant now = Instant.ofEpochSecond(1_000);
  private final InstantSource clock = () -> now;

  @AfterEach
  void close() {
    transport.close();
    vertx.close();
  }

  private static MemberInfo info(String id) {
    return new MemberInfo(id, MemberInfo.ENTRY, "r", "r-a", "127.0.0.1:1", "127.0.0.1:1", 1);
  }

  @ParameterizedTest
  @CsvSource({"1, true", "2, true", "5, true", "6, false", "20, false", "3600, false"})
  void keepsMembersButIsNotConvergedAfterFreeze(int frozenSeconds, boolean converged) {
    Membership membership = new Membership(info("entry-1"), List.of(), transport, clock, INTERVAL);
    for (int i = 1; i <= CONVERGENCE_INTERVALS; i++) {
      now = now.plus(INTERVAL);
      receiveGossip(membership, i);
      membership.sendRound(report());
    }
    assertThat(membership.converged(), is(true));
    now = now.plusSeconds(frozenSeconds);
    assertThat("before the first gossip round", membership.converged(), is(converged));
    membership.sendRound(report());
    assertThat(membership.table().get("entry-2").isPresent(), is(true));
    assertThat("after the first gossip round", membership.converged(), is(converged));
    for (int i = 1; i <= CONVERGENCE_INTERVALS; i++) {
      now = now.plus(INTERVAL);
      receiveGossip(membership, CONVERGENCE_INTERVALS + i);
      membership.sendRound(report());
    }
    assertThat("converged again", membership.converged(), is(true));
  }

  private static Gossiper.SelfReport report() {
    return new Gossiper.SelfReport(false, 1, Map.of());
  }

  private static void receiveGossip(Membership membership, long counter) {
    List<Heartbeat> heartbeats = List.of(new Heartbeat("entry-2", 1, counter, false));
    membership.onGossip(
        new PeerMessage.Gossip(info("entry-2"), 1, heartbeats, List.of(), List.of(), false), 1);
  }
}
