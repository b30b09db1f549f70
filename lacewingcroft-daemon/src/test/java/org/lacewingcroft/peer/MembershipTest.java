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

/** A daemon that was frozen must not take its own silence for that of the others. */
class MembershipTest {
  private static final Duration INTERVAL = Duration.ofSeconds(1);
  private static final int SETTLING_INTERVALS = 12;
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
  void knowsItsPeersButIsNotSettledAfterFreeze(int frozenSeconds, boolean settled) {
    Membership membership = new Membership(info("entry-1"), List.of(), transport, clock, INTERVAL);
    for (int i = 1; i <= SETTLING_INTERVALS; i++) {
      now = now.plus(INTERVAL);
      hear(membership, i);
      membership.beat(report());
    }
    assertThat(membership.converged(), is(true));
    now = now.plusSeconds(frozenSeconds);
    assertThat("before the first beat", membership.converged(), is(settled));
    membership.beat(report());
    assertThat(membership.table().get("entry-2").isPresent(), is(true));
    assertThat("after the first beat", membership.converged(), is(settled));
    for (int i = 1; i <= SETTLING_INTERVALS; i++) {
      now = now.plus(INTERVAL);
      hear(membership, SETTLING_INTERVALS + i);
      membership.beat(report());
    }
    assertThat("settled again", membership.converged(), is(true));
  }

  private static Gossiper.SelfReport report() {
    return new Gossiper.SelfReport(false, 1, Map.of());
  }

  private static void hear(Membership membership, long counter) {
    List<Heartbeat> signs = List.of(new Heartbeat("entry-2", 1, counter, false));
    membership.onGossip(
        new PeerMessage.Gossip(info("entry-2"), 1, signs, List.of(), List.of(), false), 1);
  }
}
