package org.lacewingcroft.daemon;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.lacewingcroft.membership.Heartbeat;
import org.lacewingcroft.membership.RegionDigest;
import org.lacewingcroft.peer.FrameCodec;
import org.lacewingcroft.peer.MemberInfo;
import org.lacewingcroft.peer.PeerMessage;
import org.lacewingcroft.peer.PeerTransport;

/** Announces to an entry that a server of a test is an entry of another region. */
final class AnnouncedEntry implements AutoCloseable {
  private static final long GOSSIP_INTERVAL_MILLIS = 100;

  private final Vertx vertx;
  private final PeerTransport transport;
  private final long timer;

  /**
   * Begins to announce an entry.
   *
   * @param to the entry that receives the announcements
   * @param region the region of the announced entry, which is the only one there
   * @param model the model that its region serves
   * @param port the port of its HTTP server
   */
  AnnouncedEntry(Vertx vertx, Daemon to, String region, String model, int port) {
    this.vertx = vertx;
    this.transport = new PeerTransport(vertx, new FrameCodec(TestCluster.SECRET));
    String name = "entry-of-" + region;
    String address = "127.0.0.1:" + port;
    long incarnation = 1;
    MemberInfo info =
        new MemberInfo(
            name, MemberInfo.ENTRY, region, region + "-a", address, address, incarnation);
    AtomicLong counter = new AtomicLong();
    timer =
        vertx.setPeriodic(
            0,
            GOSSIP_INTERVAL_MILLIS,
            t -> {
              long number = counter.incrementAndGet();
              RegionDigest digest =
                  new RegionDigest(region, name, number, List.of(info), Map.of(model, 4));
              transport.send(
                  "127.0.0.1:" + to.peerPort(),
                  new PeerMessage.Gossip(
                      info,
                      1,
                      List.of(new Heartbeat(name, incarnation, number, false)),
                      List.of(),
                      List.of(digest),
                      false));
            });
  }

  @Override
  public void close() {
    vertx.cancelTimer(timer);
    transport.close();
  }
}
