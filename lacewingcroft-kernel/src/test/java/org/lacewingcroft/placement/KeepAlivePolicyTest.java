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

/**
 * Tests how long a connection to the endpoint "a" may be idle, after resets at it and at other
 * endpoints.
 */
class KeepAlivePolicyTest {
  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");

  /** A reset at the start: the endpoint's address and how long its connection had been idle. */
  record Reset(String address, long idleMillis) {}

  /**
   * A test case: the resets, the timeout that "a" advertises in seconds (0 for none), the time
   * after the start, and the expected timeout then.
   */
  record Row(
      String name,
      List<Reset> resets,
      int advertisedSeconds,
      long laterMillis,
      long timeoutMillis) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Row> rows() {
    List<Reset> atA = List.of(new Reset("a", 300));
    List<Reset> atAnother = List.of(new Reset("b", 300));
    List<Reset> atTwoOthers = List.of(new Reset("b", 300), new Reset("c", 300));
    return Stream.of(
        new Row("no timeout advertised", List.of(), 0, 0, 4_000),
        new Row("stated", List.of(), 10, 0, 9_000),
        new Row("short advertised timeout", List.of(), 1, 0, 400),
        new Row("early close at this endpoint", atA, 10, 100, 200),
        new Row("early close at one other endpoint", atAnother, 10, 100, 9_000),
        new Row("early closes at two other endpoints", atTwoOthers, 10, 100, 200),
        new Row(
            "reset of a recently used connection", List.of(new Reset("a", 100)), 10, 100, 9_000),
        new Row("forgotten", atA, 10, 20_000, 9_000));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void returnsIdleTimeout(Row row) {
    KeepAlivePolicy policy = new KeepAlivePolicy();
    row.resets()
        .forEach(r -> policy.recordReset(r.address(), Duration.ofMillis(r.idleMillis()), START));
    Optional<Duration> advertised =
        Optional.of(Duration.ofSeconds(row.advertisedSeconds())).filter(d -> !d.isZero());
    assertThat(
        policy.idleTimeout("a", advertised, START.plusMillis(row.laterMillis())).toMillis(),
        equalTo(row.timeoutMillis()));
  }
}
