package org.lacewingcroft.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryAfterTest {
  @ParameterizedTest
  @CsvSource({
    "3, 3000",
    "0, 0",
    "1.25, 1250",
    "0.0001, 1",
    "' 2 ', 2000",
    "999999999, 3600000",
    "-1, ",
    "1e3, ",
    "NaN, ",
    "'', ",
    "'Wed, 21 Oct 2030 07:28:00 GMT', ",
    ", "
  })
  void parsesSecondsOnly(String value, Long millis) {
    assertThat(RetryAfter.parse(value), is(Optional.ofNullable(millis).map(Duration::ofMillis)));
  }
}
