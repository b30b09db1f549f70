package org.lacewingcroft.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** For how long a connection to the endpoint "a" may rest, after resets here and there. */
class KeepAlivePolicyTest {
  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");

  /** A reset at the start: the endpoint and how long its connection had rested. */
  record Reset(String address, long restedMillis) {}

  /** A row: resets, the time that "a" states in seconds (0 for none), the time of the question. */
  record Row(
      String name, List<Reset> resets, int statedSeconds, long laterMillis, long keepMillis) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Row> rows() {
    List<Reset> here = List.of(new Reset("a", 300));
    List<Reset> elsewhere = List.of(new Reset("b", 300));
    List<Reset> two = List.of(new Reset("b", 300), new Reset("c", 300));
    return Stream.of(
        new Row("nothing stated", List.of(), 0, 0, 4_000),
        new Row("stated", List.of(), 10, 0, 9_000),
        new Row("stated short", List.of(), 1, 0, 400),
        new Row("dropped early here", here, 10, 100, 200),
        new Row("dropped early at one other", elsewhere, 10, 100, 9_000),
        new Row("dropped early at two others", two, 10, 100, 200),
        new Row("a crash, not a drop", List.of(new Reset("a", 100)), 10, 100, 9_000),
        new Row("forgotten", here, 10, 20_000, 9_000));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void keepsForAsLongAsTheEndpointDoes(Row row) {
    KeepAlivePolicy keeping = new KeepAlivePolicy();
    row.resets()
        .forEach(r -> keeping.recordReset(r.address(), Duration.ofMillis(r.restedMillis()), START));
    Optional<Duration> stated =
        Optional.of(Duration.ofSeconds(row.statedSeconds())).filter(d -> !d.isZero());
    assertThat(
        keeping.idleTimeout("a", stated, START.plusMillis(row.laterMillis())).toMillis(),
        equalTo(row.keepMillis()));
  }
}
