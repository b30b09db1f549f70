package org.lacewingcroft.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.matchesPattern;

import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class RequestFingerprintTest {
  private static final RequestFingerprint BASE = fingerprint("POST", "desk.example", "/a/1", "b");

  static Stream<Arguments> requests() {
    return Stream.of(
        Arguments.of("POST", "desk.example", "/a/1", "b", true),
        Arguments.of("POST", "DESK.example", "/a/1", "b", true),
        Arguments.of("POST", "desk.example:8144", "/a/1", "b", true),
        Arguments.of("PUT", "desk.example", "/a/1", "b", false),
        Arguments.of("POST", "other.example", "/a/1", "b", false),
        Arguments.of("POST", "desk.example", "/a/1?page=2", "b", false),
        Arguments.of("POST", "desk.example", "/a/", "1b", false),
        Arguments.of("POST", "desk.example", "/a/1", "", false),
        Arguments.of("POST", "desk.example/a", "/1", "b", false));
  }

  @ParameterizedTest
  @MethodSource("requests")
  void distinguishesRequestsByContent(
      String method, String host, String target, String body, boolean same) {
    RequestFingerprint other = fingerprint(method, host, target, body);
    assertThat(other.equals(BASE), is(same));
    assertThat(other.toString(), matchesPattern("[0-9a-f]{16}"));
  }

  private static RequestFingerprint fingerprint(
      String method, String host, String target, String body) {
    return RequestFingerprint.of(method, host, target, body.getBytes(StandardCharsets.UTF_8));
  }
}
