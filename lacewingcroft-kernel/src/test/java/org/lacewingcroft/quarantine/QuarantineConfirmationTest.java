package org.lacewingcroft.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingcroft.request.RequestFingerprint;

/** Tests how long requests with a content wait after it was quarantined. */
class QuarantineConfirmationTest {
  private static final RequestFingerprint CONTENT = new RequestFingerprint(7);
  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");

  private final QuarantineConfirmation confirmation = new QuarantineConfirmation();

  private static Suspicion crashes(int count) {
    Set<EndpointCrash> crashes =
        IntStream.range(0, count)
            .mapToObj(i -> new EndpointCrash("e" + i, Duration.ofSeconds(i), false))
            .collect(Collectors.toSet());
    return new Suspicion(CONTENT, crashes, Optional.empty());
  }

  @ParameterizedTest
  @CsvSource({"2, 0, 0", "3, 0, 300", "3, 100, 200", "3, 300, 0", "3, 5000, 0"})
  void waitsAfterTheLastCrashThatQuarantines(int crashes, int millis, int expectedMillis) {
    confirmation.onEvidence(crashes(crashes), START);
    assertThat(remainingMillis(millis), is((long) expectedMillis));
  }

  @Test
  void furtherCrashesDoNotExtendTheWait() {
    confirmation.onEvidence(crashes(3), START);
    confirmation.onEvidence(crashes(4), START.plusMillis(200));
    assertThat(remainingMillis(250), is(50L));
  }

  @Test
  void waitsAgainAfterTheContentWasCleared() {
    confirmation.onEvidence(crashes(3), START);
    confirmation.onEvidence(Suspicion.cleared(CONTENT), START.plusMillis(100));
    confirmation.onEvidence(crashes(3), START.plusMillis(5_000));
    assertThat(remainingMillis(5_100), is(200L));
  }

  @Test
  void waitsAgainAfterRetractedCrash() {
    confirmation.onEvidence(crashes(3), START);
    confirmation.retain(List.of());
    confirmation.onEvidence(crashes(3), START.plusMillis(5_000));
    assertThat(remainingMillis(5_100), is(200L));
  }

  private long remainingMillis(long afterMillis) {
    return confirmation
        .remaining(CONTENT, START.plusMillis(afterMillis))
        .map(Duration::toMillis)
        .orElse(0L);
  }
}
