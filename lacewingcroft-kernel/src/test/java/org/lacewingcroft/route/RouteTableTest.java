package org.lacewingcroft.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class RouteTableTest {
  private static final List<ServiceSpec> SERVICES =
      List.of(new ServiceSpec("s", 10, Duration.ZERO, 0, Optional.empty()));

  private static Route route(String name, String prefix, long timeoutMillis, ServiceShare... to) {
    return new Route(
        name,
        "host.example",
        prefix,
        RouteKind.IDEMPOTENT,
        Duration.ofMillis(timeoutMillis),
        Duration.ofMillis(100),
        0,
        List.of(to),
        1,
        false,
        Optional.empty(),
        Set.of(),
        false);
  }

  private static RouteTable table(Route... routes) {
    return new RouteTable(1, List.of(routes), SERVICES, RequestLimits.DEFAULT);
  }

  @ParameterizedTest
  @CsvSource({
    "host.example, /a/x, short",
    "HOST.example:8080, /a/b/x, long",
    "host.example, /a/b/, long",
    "host.example, /a, none",
    "host.example, /c/, none",
    "other.example, /a/x, none"
  })
  void theLongestPrefixWins(String host, String path, String expected) {
    ServiceShare all = new ServiceShare("s", 1);
    RouteTable table = table(route("short", "/a/", 1, all), route("long", "/a/b/", 1, all));
    assertThat(table.match(host, path).map(Route::name).orElse("none"), equalTo(expected));
  }

  @ParameterizedTest
  @CsvSource({
    "'', '', ''",
    "'north east', '', 'east north'",
    "'north east', 'north south', 'north'",
    "'north', 'south', ''"
  })
  void homesOfHostAreCommonToItsRoutes(String some, String others, String expected) {
    RouteTable table = table(withHomes("r", "/a/", some), withHomes("q", "/b/", others));
    assertThat(
        String.join(" ", new TreeSet<>(table.homeRegionsOf("HOST.example:80"))), equalTo(expected));
    assertThat(table.homeRegionsOf("other.example"), equalTo(Set.of()));
  }

  private static Route withHomes(String name, String prefix, String homes) {
    Route plain = route(name, prefix, 1, new ServiceShare("s", 1));
    return new Route(
        plain.name(),
        plain.host(),
        plain.pathPrefix(),
        plain.kind(),
        plain.timeout(),
        plain.latencyObjective(),
        plain.priority(),
        plain.shares(),
        plain.maxAttempts(),
        plain.resumable(),
        plain.eventGapObjective(),
        homes.isEmpty() ? Set.of() : Set.of(homes.split(" ")),
        false);
  }

  /** A row: routes that must not be put in force, and what the error says. */
  record Bad(List<Route> routes, String says) {}

  static Stream<Bad> bad() {
    ServiceShare all = new ServiceShare("s", 1);
    return Stream.of(
        new Bad(List.of(route("r", "/a/", 1, new ServiceShare("t", 1))), "unknown service 't'"),
        new Bad(List.of(route("r", "/a/", 1, new ServiceShare("s", 0))), "add up to 0"),
        new Bad(List.of(route("r", "/a/", 0, all)), "no timeout"),
        new Bad(List.of(route("r", "a/", 1, all)), "slash"),
        new Bad(List.of(route("r", "/a/", 1, all), route("q", "/a/", 1, all)), "two routes share"));
  }

  @ParameterizedTest
  @MethodSource("bad")
  void refusesWhatMustNotBeInForce(Bad bad) {
    InvalidRouteTableException refused =
        assertThrows(
            InvalidRouteTableException.class, () -> table(bad.routes().toArray(Route[]::new)));
    assertThat(refused.getMessage(), containsString(bad.says()));
  }

  @ParameterizedTest
  @CsvSource({"0.0, s", "0.89, s", "0.91, t", "0.9999, t"})
  void sharesFollowTheirWeights(double point, String expected) {
    Route route = route("r", "/a/", 1, new ServiceShare("s", 90), new ServiceShare("t", 10));
    assertThat(route.pickService(point), equalTo(expected));
  }

  private static Organisation organisation(String name, String... keys) {
    return new Organisation(name, Set.of(keys), OptionalInt.empty(), Optional.empty(), Set.of());
  }

  @Test
  void keysNameOrganisations() {
    RouteTable table =
        new RouteTable(
            1,
            List.of(),
            List.of(),
            RequestLimits.DEFAULT,
            List.of(organisation("desk", "k1", "k2"), organisation("crew", "k3")));
    assertThat(table.requiresApiKeys(), is(true));
    assertThat(RouteTable.EMPTY.requiresApiKeys(), is(false));
    assertThat(table.organisationOf("k2").map(Organisation::name), is(Optional.of("desk")));
    assertThat(table.organisationOf("k4"), is(Optional.empty()));
  }

  @Test
  void organisationsDoNotShareKeys() {
    List<Organisation> sharing = List.of(organisation("desk", "k1"), organisation("crew", "k1"));
    assertThrows(
        InvalidRouteTableException.class,
        () -> new RouteTable(1, List.of(), List.of(), RequestLimits.DEFAULT, sharing));
  }
}
