package org.lacewingcroft.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingcroft.config.ConfigParser;
import org.lacewingcroft.config.GatewayConfig;
import org.lacewingcroft.endpoint.Endpoint;
import org.lacewingcroft.endpoint.EndpointDirectory;
import org.lacewingcroft.endpoint.EndpointKind;

class RouterTest {
  private static final Instant NOW = Instant.ofEpochSecond(1_000);
  private static final GatewayConfig CONFIG =
      ConfigParser.parse(
              """
              selectors:
                - name: writers
                  work: {models: [writer]}
                  endpoints: {matchLabels: {service: writers}}
                - name: desk-north
                  work: {models: [desk]}
                  endpoints: {matchLabels: {service: desk}}
                  regions: [pohjois-pohjanmaa]
              organisations:
                - {name: home, residency: [uusimaa]}
              """)
          .withVersion(1);

  private static Endpoint endpoint(String id, String region, String model, boolean draining) {
    return new Endpoint(
        id,
        "http://127.0.0.1:1",
        region,
        region + "-a",
        EndpointKind.ENGINE,
        Map.of("service", model.equals("writer") ? "writers" : "desk"),
        Set.of(model),
        4,
        false,
        draining,
        0,
        Set.of(),
        0,
        NOW.plusSeconds(3));
  }

  private static RouteRequest request(
      String organisation, String model, Set<String> residency, boolean forwarded) {
    return new RouteRequest(organisation, model, "normal", residency, forwarded, Set.of(), 0, "");
  }

  static Stream<Arguments> rows() {
    List<RegionSummary> northHasFreeSlots =
        List.of(new RegionSummary("pohjois-pohjanmaa", Map.of("writer", 5, "desk", 2)));
    EndpointDirectory local =
        EndpointDirectory.EMPTY.with(endpoint("u1", "uusimaa", "writer", false));
    EndpointDirectory drainingOnly =
        EndpointDirectory.EMPTY.with(endpoint("u1", "uusimaa", "writer", true));
    EndpointDirectory expired =
        EndpointDirectory.EMPTY.with(endpoint("u1", "uusimaa", "writer", false));
    return Stream.of(
        Arguments.of(
            "served locally",
            request("any", "writer", Set.of(), false),
            local,
            List.of(),
            NOW,
            "serve:u1"),
        Arguments.of(
            "draining endpoint receives no requests, request is forwarded",
            request("any", "writer", Set.of(), false),
            drainingOnly,
            northHasFreeSlots,
            NOW,
            "forward:pohjois-pohjanmaa"),
        Arguments.of(
            "endpoint with expired lease receives no requests",
            request("any", "writer", Set.of(), false),
            expired,
            List.of(),
            NOW.plusSeconds(4),
            "refuse:NOT_RUN"),
        Arguments.of(
            "residency forbids forwarding",
            request("any", "writer", Set.of("uusimaa"), false),
            drainingOnly,
            northHasFreeSlots,
            NOW,
            "refuse:NOT_RUN"),
        Arguments.of(
            "organisation residency forbids forwarding",
            request("home", "writer", Set.of(), false),
            drainingOnly,
            northHasFreeSlots,
            NOW,
            "refuse:NOT_RUN"),
        Arguments.of(
            "disjoint residencies refused",
            request("home", "writer", Set.of("pirkanmaa"), false),
            local,
            northHasFreeSlots,
            NOW,
            "refuse:NOT_RUN"),
        Arguments.of(
            "forwarded request is not forwarded again",
            request("any", "writer", Set.of(), true),
            drainingOnly,
            northHasFreeSlots,
            NOW,
            "refuse:NOT_RUN"),
        Arguments.of(
            "selector regions exclude the local region",
            request("any", "desk", Set.of(), false),
            EndpointDirectory.EMPTY.with(endpoint("d1", "uusimaa", "desk", false)),
            northHasFreeSlots,
            NOW,
            "forward:pohjois-pohjanmaa"),
        Arguments.of(
            "unknown model",
            request("any", "painter", Set.of(), false),
            local,
            northHasFreeSlots,
            NOW,
            "refuse:UNKNOWN_MODEL"),
        Arguments.of(
            "model named by a selector but served by no endpoint",
            request("any", "writer", Set.of(), false),
            EndpointDirectory.EMPTY,
            List.of(),
            NOW,
            "refuse:NOT_RUN"),
        Arguments.of(
            "no selector covers the model",
            request("any", "other", Set.of(), false),
            EndpointDirectory.EMPTY.with(endpoint("o1", "uusimaa", "other", false)),
            List.of(),
            NOW,
            "refuse:NOT_RUN"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("rows")
  void makesExpectedDecision(
      String name,
      RouteRequest request,
      EndpointDirectory directory,
      List<RegionSummary> remote,
      Instant now,
      String expected) {
    Router router = new Router("uusimaa", new LeastInFlightPolicy());
    RouteDecision decision = router.route(request, CONFIG, directory, view(remote, 0), now);
    assertThat(name, describe(decision), is(expected));
  }

  /**
   * Verifies that a request is forwarded to another region only if the local endpoint has no free
   * capacity and the residency allows it. The endpoint has four slots: with four requests in flight
   * it has free capacity, with five (a utilisation of 1.25) it has none.
   */
  @ParameterizedTest
  @CsvSource({
    "any, 4, serve:w1",
    "any, 5, forward:pirkanmaa",
    "home, 5, serve:w1",
    "home, 400, serve:w1"
  })
  void spillsToAnotherRegionOnlyWhenFullAndAllowed(
      String organisation, int inFlight, String expected) {
    Router router = new Router("uusimaa", new LeastInFlightPolicy());
    EndpointDirectory directory =
        EndpointDirectory.EMPTY.with(endpoint("w1", "uusimaa", "writer", false));
    List<RegionSummary> remote = List.of(new RegionSummary("pirkanmaa", Map.of("writer", 3)));
    RouteDecision decision =
        router.route(
            request(organisation, "writer", Set.of(), false),
            CONFIG,
            directory,
            view(remote, inFlight),
            NOW);
    assertThat(describe(decision), is(expected));
  }

  private static GatewayView view(List<RegionSummary> remote, int inFlight) {
    return new GatewayView() {
      @Override
      public int inFlightTo(String endpointId) {
        return inFlight;
      }

      @Override
      public boolean recentlySentPrefix(String endpointId, String prefixHash) {
        return false;
      }

      @Override
      public List<RegionSummary> otherRegions() {
        return remote;
      }
    };
  }

  private static String describe(RouteDecision decision) {
    if (decision instanceof RouteDecision.Serve s) {
      return "serve:" + s.candidate().endpoint().id();
    }
    if (decision instanceof RouteDecision.Forward f) {
      return "forward:" + f.region();
    }
    return "refuse:" + ((RouteDecision.Refuse) decision).kind();
  }
}
