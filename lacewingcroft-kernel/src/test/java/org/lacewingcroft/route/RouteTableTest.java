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
      List.of(new ServiceSpec("s", 10, Duration.ZERO, 0, Optional.empty(), Optional.empty()));

  private static Route route(
      String name, String prefix, long timeoutMillis, ServiceShare... shares) {
    return new Route(
        name,
        "host.example",
        prefix,
        RouteKind.IDEMPOTENT,
        Duration.ofMillis(timeoutMillis),
        Duration.ofMillis(100),
        0,
        List.of(shares),
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
  void matchesLongestPrefix(String host, String path, String expected) {
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
  void homeRegionsOfHostAreCommonToItsRoutes(
      String firstHomes, String secondHomes, String expected) {
    RouteTable table =
        table(withHomeRegions("r", "/a/", firstHomes), withHomeRegions("q", "/b/", secondHomes));
    assertThat(
        String.join(" ", new TreeSet<>(table.homeRegionsOf("HOST.example:80"))), equalTo(expected));
    assertThat(table.homeRegionsOf("other.example"), equalTo(Set.of()));
  }

  private static Route withHomeRegions(String name, String prefix, String homeRegions) {
    Route base = route(name, prefix, 1, new ServiceShare("s", 1));
    return new Route(
        base.name(),
        base.host(),
        base.pathPrefix(),
        base.kind(),
        base.timeout(),
        base.latencyObjective(),
        base.priority(),
        base.shares(),
        base.maxAttempts(),
        base.resumable(),
        base.eventGapObjective(),
        homeRegions.isEmpty() ? Set.of() : Set.of(homeRegions.split(" ")),
        false);
  }

  /** A test case: an invalid list of routes and a part of the expected error message. */
  record InvalidTable(List<Route> routes, String expectedMessage) {}

  static Stream<InvalidTable> invalidTables() {
    ServiceShare all = new ServiceShare("s", 1);
    return Stream.of(
        new InvalidTable(
            List.of(route("r", "/a/", 1, new ServiceShare("t", 1))), "unknown service 't'"),
        new InvalidTable(List.of(route("r", "/a/", 1, new ServiceShare("s", 0))), "add up to 0"),
        new InvalidTable(List.of(route("r", "/a/", 0, all)), "no timeout"),
        new InvalidTable(List.of(route("r", "a/", 1, all)), "slash"),
        new InvalidTable(
            List.of(route("r", "/a/", 1, all), route("q", "/a/", 1, all)), "two routes share"));
  }

  @ParameterizedTest
  @MethodSource("invalidTables")
  void rejectsInvalidTables(InvalidTable invalid) {
    InvalidRouteTableException exception =
        assertThrows(
            InvalidRouteTableException.class, () -> table(invalid.routes().toArray(Route[]::new)));
    assertThat(exception.getMessage(), containsString(invalid.expectedMessage()));
  }

  @ParameterizedTest
  @CsvSource({"0.0, s", "0.89, s", "0.91, t", "0.9999, t"})
  void picksServicesByWeight(double point, String expected) {
    Route route = route("r", "/a/", 1, new ServiceShare("s", 90), new ServiceShare("t", 10));
    assertThat(route.pickService(point), equalTo(expected));
  }

  private static Organisation organisation(String name, String... keys) {
    return new Organisation(name, Set.of(keys), OptionalInt.empty(), Optional.empty(), Set.of());
  }

  @Test
  void findsOrganisationsByKey() {
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
  void rejectsKeySharedByTwoOrganisations() {
    List<Organisation> sharing = List.of(organisation("desk", "k1"), organisation("crew", "k1"));
    assertThrows(
        InvalidRouteTableException.class,
        () -> new RouteTable(1, List.of(), List.of(), RequestLimits.DEFAULT, sharing));
  }
}
