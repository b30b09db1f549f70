package org.lacewingcroft.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;
import org.lacewingcroft.forward.RawResponse.Framing;
import org.lacewingcroft.forward.RawResponse.IdPosition;
import org.lacewingcroft.forward.StutteringEndpoint.Moment;

/**
 * Pairs of requests, as many as the repeated response has bytes: the endpoint repeats as many bytes
 * as the number of the pair.
 *
 * @param firstStatus the status of the response to the first request of each pair
 * @param secondStatus the status of the response to the second request of each pair
 * @param sendsRest whether the rest of the repeated response follows the response to the second
 *     request
 */
public record StutterSweep(
    String name,
    String region,
    int firstStatus,
    int secondStatus,
    Moment moment,
    Framing framing,
    Ids ids,
    boolean sendsRest)
    implements Stutter {
  /** Which responses contain the id of their request, and where. */
  public enum Ids {
    /** All, as their first header. */
    FIRST(IdPosition.FIRST, IdPosition.FIRST),
    /** All, as their last header. */
    LAST(IdPosition.LAST, IdPosition.LAST),
    /** None. */
    NONE(IdPosition.NONE, IdPosition.NONE),
    /** All but the repeated ones. */
    NOT_REPEATED(IdPosition.FIRST, IdPosition.NONE);

    private final IdPosition inResponse;
    private final IdPosition inRepeatedResponse;

    Ids(IdPosition inResponse, IdPosition inRepeatedResponse) {
      this.inResponse = inResponse;
      this.inRepeatedResponse = inRepeatedResponse;
    }
  }

  /** Sweeps that run beside each other: each region and framing. */
  public record Group(Moment moment, Ids ids, boolean sendsRest, List<StutterSweep> sweeps) {
    /**
     * Sends all pairs and checks that each response is the expected one.
     *
     * @param endpoints the endpoints by the name of their service
     */
    public void run(StutterCaller caller, Map<String, StutteringEndpoint> endpoints)
        throws Exception {
      List<Callable<List<String>>> tasks = new ArrayList<>();
      sweeps.forEach(s -> tasks.add(() -> s.failures(caller, endpoints.get(s.name()))));
      ExecutorService threads = Executors.newFixedThreadPool(tasks.size());
      try {
        List<String> failures = new ArrayList<>();
        for (Future<List<String>> result : threads.invokeAll(tasks)) {
          failures.addAll(result.get());
        }
        assertThat(toString(), failures, is(empty()));
      } finally {
        threads.shutdownNow();
      }
      if (moment == Moment.AFTER_NEXT_REQUEST && ids != Ids.NONE) {
        for (StutterSweep sweep : sweeps) {
          assertThat(
              "requests that were sent before stray bytes: " + sweep,
              endpoints.get(sweep.name()).requestsOnUsedConnections(),
              greaterThan(0));
        }
      }
    }

    @Override
    public String toString() {
      return moment + ", ids " + ids + (sendsRest ? ", in two pieces" : "");
    }
  }

  /** Returns groups of sweeps for each moment. */
  public static Stream<Group> groups(List<String> regions, List<Ids> ids) {
    List<Group> groups = new ArrayList<>();
    for (Moment moment : Moment.values()) {
      for (Ids groupIds : ids) {
        String name = "g" + groups.size();
        groups.add(group(name, regions, moment, groupIds, /* sendsRest= */ false));
        if (moment == Moment.AFTER_NEXT_REQUEST) {
          groups.add(group(name + "r", regions, moment, groupIds, /* sendsRest= */ true));
        }
      }
    }
    return groups.stream();
  }

  private static Group group(
      String name, List<String> regions, Moment moment, Ids ids, boolean sendsRest) {
    List<StutterSweep> sweeps = new ArrayList<>();
    for (String region : regions) {
      for (Framing framing : Framing.values()) {
        boolean failsFirst = sweeps.size() % 2 == 1;
        int firstStatus = failsFirst ? 500 : 200;
        int secondStatus = failsFirst ? 200 : 500;
        sweeps.add(
            new StutterSweep(
                name + "-" + sweeps.size(),
                region,
                firstStatus,
                secondStatus,
                moment,
                framing,
                ids,
                sendsRest));
      }
    }
    return new Group(moment, ids, sendsRest, sweeps);
  }

  @Override
  public RawResponse responseTo(String id) {
    return new RawResponse(
        isFirst(id) ? firstStatus : secondStatus,
        id,
        "s-" + id,
        framing == Framing.EVENT_STREAM ? "id: 1\ndata: " + id + "\n\n" : id,
        framing,
        ids.inResponse);
  }

  @Override
  public String strayBytesAfter(String id) {
    return isFirst(id) ? repeatedResponse(id).substring(0, pairOf(id)) : "";
  }

  @Override
  public String strayRestAfter(String id) {
    return sendsRest && isFirst(id) ? repeatedResponse(id).substring(pairOf(id)) : "";
  }

  @Override
  public boolean mayCostNextRequest(int pair) {
    boolean identified = ids.inRepeatedResponse != IdPosition.NONE;
    boolean whole = pair == repeatedResponse(id(0, true)).length();
    return Stutter.super.mayCostNextRequest(pair) && !(identified && whole);
  }

  private String repeatedResponse(String id) {
    return responseTo(id).withIdPosition(ids.inRepeatedResponse).bytes();
  }

  private List<String> failures(StutterCaller caller, StutteringEndpoint endpoint)
      throws Exception {
    caller.awaitServed(this);
    List<String> failures = new ArrayList<>();
    int pairs = repeatedResponse(id(0, true)).length();
    for (int pair = 1; pair <= pairs; pair++) {
      Optional<String> failure = caller.sendPair(this, endpoint, pair);
      if (failure.isPresent()) {
        failures.add(
            String.format("%s, %d of %d bytes repeated: %s", this, pair, pairs, failure.get()));
        // The pairs after this one must not depend on the connections that it leaves.
        endpoint.closeConnections();
        caller.awaitReceived(region);
      }
    }
    return failures;
  }

  @Override
  public String toString() {
    return String.format("%d after %d in %s, %s", secondStatus, firstStatus, region, framing);
  }
}
