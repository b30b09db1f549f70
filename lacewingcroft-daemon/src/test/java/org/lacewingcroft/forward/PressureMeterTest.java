package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.fleet.EntryCapacity;
import org.lacewingcroft.fleet.EntryPressure;

/** Tests the measured pressure of an entry in virtual time. */
class PressureMeterTest {
  private static final EntryCapacity CAPACITY = new EntryCapacity(0.36, 10_000, 1, 1_000);

  private final LinkTraffic traffic = new LinkTraffic();
  private Instant now = Instant.ofEpochSecond(1_000);

  /**
   * Guards against a link share that adds both directions, or that averages over more than the last
   * second and so rises too late in a peak.
   */
  @ParameterizedTest
  @CsvSource({"0, 0, 0", "2000, 500, 0.4", "500, 2000, 0.4", "5000, 5000, 1", "50000, 0, 1"})
  void linkShareIsOfBusierDirection(int received, int sent, double expected) {
    PressureMeter meter = new PressureMeter(CAPACITY, traffic, () -> 0.7, () -> 5, () -> now);
    EmbeddedChannel channel = new EmbeddedChannel(traffic);
    EntryPressure pressure = meter.get();
    for (int i = 0; i < 20; i++) {
      now = now.plusMillis(500);
      pressure = meter.get();
    }
    assertThat(pressure.link(), is(0.0));
    for (int i = 0; i < 2; i++) {
      channel.writeInbound(Unpooled.wrappedBuffer(new byte[received]));
      channel.writeOutbound(Unpooled.wrappedBuffer(new byte[sent]));
      now = now.plusMillis(500);
      pressure = meter.get();
    }
    assertThat(pressure.link(), closeTo(expected, 0.01));
    assertThat(pressure.eventLoop(), is(0.7));
    assertThat(pressure.inFlight(), is(5));
    double open = pressure.fileDescriptors();
    channel.close();
    assertThat(open - meter.get().fileDescriptors(), closeTo(0.001, 1e-9));
  }

  /** Guards against connections to endpoints and relays that do not count. */
  @Test
  void clientConnectionsCount() {
    PressureMeter meter = new PressureMeter(CAPACITY, traffic, () -> 0, () -> 0, () -> now);
    final double before = meter.get().fileDescriptors();
    traffic.clientConnectionOpened();
    traffic.requestSent(2_500);
    traffic.responseHeadReceived();
    traffic.responseReceived(1_500);
    now = now.plusMillis(500);
    EntryPressure pressure = meter.get();
    assertThat(pressure.fileDescriptors() - before, closeTo(0.001, 1e-9));
    assertThat(pressure.link(), closeTo(0.6, 0.01));
    traffic.clientConnectionClosed();
    assertThat(meter.get().fileDescriptors(), closeTo(before, 1e-9));
  }
}
