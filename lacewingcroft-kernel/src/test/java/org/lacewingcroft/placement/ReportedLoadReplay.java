package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.lacewingcroft.fleet.EndpointRecord;
import org.lacewingcroft.fleet.EndpointState;
import org.lacewingcroft.fleet.FleetMessage;
import org.lacewingcroft.placement.EndpointTracker.Outcome;
import org.lacewingcroft.route.ServiceSpec;

/**
 * Replays requests of many entries through {@link Placer} against simulated endpoints with slots, a
 * bounded queue, different speeds, and a pace that changes every 600 ms. Entries tell each other
 * their own load and the reports of the endpoints every 120 ms, through an aggregator that passes
 * them on every 120 ms. Two replays can be connected as regions that report their load to each
 * other twice a second and relay requests, 55 ms each way. Time is simulated; equal seeds give
 * equal results.
 */
final class ReportedLoadReplay {
  private static final int EXCHANGE_INTERVAL_MILLIS = 120;
  private static final int PACE_INTERVAL_MILLIS = 600;
  private static final int REGION_REPORT_INTERVAL_MILLIS = 500;
  private static final int REGION_REPORTERS = 2;
  private static final int CROSS_REGION_MILLIS = 55;
  private static final int MAX_SENDS = 3;
  private static final String SERVICE = "service";

  /**
   * The simulated endpoints of a service.
   *
   * @param speeds the speed of each endpoint, 1 for the usual one
   * @param variablePace whether the pace changes every 600 ms
   * @param prefillTokensPerMilli prefill speed of an engine; 0 for a plain service
   * @param tokenMillis time per output token of an engine, or per request of a plain service
   * @param chunkTokens prompt tokens that an engine prefills in each step, which all its streams
   *     wait for; 0 if streams do not wait for prefills
   */
  record Endpoints(
      List<Double> speeds,
      boolean variablePace,
      int slots,
      int queueLimit,
      double prefillTokensPerMilli,
      double tokenMillis,
      long chunkTokens) {
    Endpoints(
        List<Double> speeds,
        boolean variablePace,
        int slots,
        int queueLimit,
        double prefillTokensPerMilli,
        double tokenMillis) {
      this(speeds, variablePace, slots, queueLimit, prefillTokensPerMilli, tokenMillis, 0);
    }

    /** Returns the share of a step that its chunk of a prompt takes, for chunks that share it. */
    private double chunkShare() {
      double chunkMillis = chunkTokens / prefillTokensPerMilli;
      return chunkMillis / (chunkMillis + tokenMillis);
    }
  }

  /** A kind of request. Requests of plain services have no prompt and one output token. */
  record Kind(
      String name,
      double perSecond,
      int priority,
      long sharedTokens,
      int sharedPrefixes,
      long ownTokens,
      long outputTokens,
      Duration objective,
      Duration timeout) {}

  /** The period in which endpoints send no load header; empty if end is not after start. */
  record Silence(long fromMillis, long untilMillis) {
    static final Silence NONE = new Silence(0, 0);
    static final Silence ALWAYS = new Silence(0, Long.MAX_VALUE);

    private boolean contains(long millis) {
      return millis >= fromMillis && millis < untilMillis;
    }
  }

  /** The results of a replay. */
  static final class Results {
    int sent;
    int onTime;
    int refusedToCaller;
    int arrivals;
    int refusedAsFull;
    int relayed;
    final Map<String, Integer> sentByKind = new TreeMap<>();
    final Map<String, Integer> onTimeByKind = new TreeMap<>();

    /** Requests and those in time, by second of arrival. */
    private final Map<Long, int[]> bySecond = new TreeMap<>();

    long sharedTokensPrefilled;
    int[] arrivalsByEndpoint;
    double[] capacityShares;

    /** Returns the load of the busiest endpoint relative to its share of the capacity. */
    double busiest() {
      return IntStream.range(0, arrivalsByEndpoint.length)
          .mapToDouble(e -> arrivalsByEndpoint[e] / (arrivals * capacityShares[e]))
          .max()
          .orElse(0);
    }

    double refusedShare() {
      return (double) refusedAsFull / arrivals;
    }

    double onTimeShare() {
      return (double) onTime / sent;
    }

    double onTimeShare(String kind) {
      return (double) onTimeByKind.getOrDefault(kind, 0) / sentByKind.get(kind);
    }

    /** Returns the share of the requests in time of those that arrived in a second. */
    double onTimeShareOfSecond(long second) {
      int[] counts = bySecond.get(second);
      return (double) counts[1] / counts[0];
    }

    private int[] ofSecondAt(long arrivedAtMillis) {
      return bySecond.computeIfAbsent(arrivedAtMillis / 1_000, second -> new int[2]);
    }

    @Override
    public String toString() {
      return String.format(
          "sent %s, on time %.3f %s, refused to callers %.3f, relayed %d, busiest %.2f,"
              + " refused as full %.4f, shared tokens %d",
          sentByKind,
          onTimeShare(),
          onTimeByKind,
          (double) refusedToCaller / sent,
          relayed,
          busiest(),
          refusedShare(),
          sharedTokensPrefilled);
    }
  }

  private static final class Call {
    private final Kind kind;
    private final PlacementRequest request;
    private final long arrivedAt;
    private final Set<String> excluded = new HashSet<>();
    private boolean retried;
    private Optional<ReportedLoadReplay> origin = Optional.empty();
    private final Set<String> excludedRegions = new HashSet<>();
    private EndpointTracker.InFlightRequest inFlightRequest;
    private int entry;
    private double remainingPrefillMillis;
    private double remainingMillis;
    private Optional<Engine> source = Optional.empty();

    private Call(Kind kind, PlacementRequest request, long arrivedAt) {
      this.kind = kind;
      this.request = request;
      this.arrivedAt = arrivedAt;
    }
  }

  private static final class Engine {
    private final int index;
    private final double speed;
    private final List<EndpointTracker> trackers;
    private final PrefixCacheModel cache = new PrefixCacheModel();
    private final List<Call> running = new ArrayList<>();
    private final PriorityQueue<Call> waiting =
        new PriorityQueue<>(
            Comparator.comparingInt((Call c) -> c.kind.priority())
                .thenComparingLong(c -> c.arrivedAt));
    private double pace;

    private Engine(int index, double speed, List<EndpointTracker> trackers) {
      this.index = index;
      this.speed = speed;
      this.pace = 1 / speed;
      this.trackers = trackers;
    }
  }

  private final String region;
  private final Endpoints endpoints;
  private final int entryCount;
  private final Silence silence;
  private final Random random;
  private final Placer placer;
  private final Instant start = Instant.parse("2030-01-01T00:00:00Z");
  private final List<Engine> engines = new ArrayList<>();
  private final Results results = new Results();
  private final TreeMap<Long, List<Runnable>> events = new TreeMap<>();
  private final List<RegionLoads> regionLoads = new ArrayList<>();
  private Optional<ReportedLoadReplay> otherRegion = Optional.empty();
  private final List<Consumer<Instant>> held = new ArrayList<>();
  private final List<Map<String, ReportedLoad>> lastTold = new ArrayList<>();
  private final Set<String> toldLoads = new HashSet<>();
  private final Optional<ServiceSpec.Engine> spec;

  ReportedLoadReplay(Endpoints endpoints, int entryCount, Silence silence, long seed) {
    this("here", endpoints, entryCount, silence, seed);
  }

  ReportedLoadReplay(
      String region, Endpoints endpoints, int entryCount, Silence silence, long seed) {
    this.region = region;
    this.endpoints = endpoints;
    this.entryCount = entryCount;
    this.silence = silence;
    this.random = new Random(seed);
    this.placer = new Placer(3, new Random(seed + 1));
    this.spec =
        isPlain()
            ? Optional.empty()
            : Optional.of(
                new ServiceSpec.Engine(endpoints.slots(), 468_000, 9, 327_680, 1_500_000));
    List<QueueLimit> queueLimits =
        IntStream.range(0, entryCount).mapToObj(e -> new QueueLimit()).toList();
    for (int i = 0; i < endpoints.speeds().size(); i++) {
      EndpointRecord record =
          new EndpointRecord(
              "e-" + i,
              0,
              SERVICE,
              "10.0.0.1:1",
              "a",
              endpoints.slots(),
              EndpointState.READY,
              1,
              0);
      engines.add(
          new Engine(
              i,
              endpoints.speeds().get(i),
              IntStream.range(0, entryCount)
                  .mapToObj(
                      e ->
                          new EndpointTracker(
                              record, new AdvertisedConditions(), queueLimits.get(e), start))
                  .toList()));
    }
    IntStream.range(0, entryCount).forEach(e -> lastTold.add(new HashMap<>()));
    IntStream.range(0, entryCount).forEach(e -> regionLoads.add(new RegionLoads()));
    double total = endpoints.speeds().stream().mapToDouble(s -> s).sum();
    results.capacityShares = endpoints.speeds().stream().mapToDouble(s -> s / total).toArray();
    results.arrivalsByEndpoint = new int[engines.size()];
  }

  private boolean isPlain() {
    return endpoints.prefillTokensPerMilli() == 0;
  }

  /**
   * Runs a trace.
   *
   * @param burstFactor the rate of the middle third relative to the rest
   */
  Results run(List<Kind> kinds, Duration duration, double burstFactor) {
    long millis = duration.toMillis();
    for (long ms = 0; ms < millis; ms++) {
      boolean burst = ms >= millis / 3 && ms < millis * 2 / 3;
      step(kinds, burst ? burstFactor : 1, ms);
    }
    return results;
  }

  /** Connects two regions, whose replays then have to be stepped in turn. */
  static void connect(ReportedLoadReplay one, ReportedLoadReplay other) {
    one.otherRegion = Optional.of(other);
    other.otherRegion = Optional.of(one);
  }

  Results results() {
    return results;
  }

  /**
   * Runs one millisecond.
   *
   * @param rateFactor the factor by which the rates of all kinds are multiplied
   */
  void step(List<Kind> kinds, double rateFactor, long ms) {
    final Instant now = start.plusMillis(ms);
    if (endpoints.variablePace() && ms % PACE_INTERVAL_MILLIS == 0) {
      engines.forEach(e -> e.pace = (0.7 + 0.7 * random.nextDouble()) / e.speed);
    }
    for (Kind kind : kinds) {
      double rate = kind.perSecond() * rateFactor / 1_000;
      for (double due = rate; due > 0; due--) {
        if (random.nextDouble() < due) {
          arrive(kind, ms);
        }
      }
    }
    while (!events.isEmpty() && events.firstKey() <= ms) {
      events.pollFirstEntry().getValue().forEach(Runnable::run);
    }
    for (Engine engine : engines) {
      advance(engine, ms);
    }
    for (int entry = 0; entry < entryCount; entry++) {
      if ((ms + 37L * entry) % EXCHANGE_INTERVAL_MILLIS == 0) {
        tell(entry, now);
      }
    }
    if (ms % EXCHANGE_INTERVAL_MILLIS == 0) {
      held.forEach(h -> h.accept(now));
      held.clear();
    }
    for (int entry = 0; entry < Math.min(REGION_REPORTERS, entryCount); entry++) {
      if ((ms + 190L * entry) % REGION_REPORT_INTERVAL_MILLIS == 0) {
        reportToOtherRegion(entry, ms);
      }
    }
  }

  private void schedule(long atMillis, Runnable event) {
    events.computeIfAbsent(atMillis, at -> new ArrayList<>()).add(event);
  }

  private void reportToOtherRegion(int entry, long ms) {
    otherRegion.ifPresent(
        other -> {
          FleetMessage.ServiceLoad load =
              RegionLoadSummary.of(
                  SERVICE,
                  engines.stream().map(e -> e.trackers.get(entry)).toList(),
                  start.plusMillis(ms));
          long receivedAt = ms + CROSS_REGION_MILLIS;
          other.schedule(
              receivedAt,
              () ->
                  other.regionLoads.forEach(
                      loads -> loads.update(region, load, start.plusMillis(receivedAt))));
        });
  }

  private void arrive(Kind kind, long ms) {
    results.sent++;
    results.sentByKind.merge(kind.name(), 1, Integer::sum);
    results.ofSecondAt(ms)[0]++;
    List<PromptPart> parts =
        kind.sharedTokens() == 0
            ? List.of()
            : List.of(
                // A few of the shared parts are requested much more often than the others.
                new PromptPart(
                    kind.name() + (int) (kind.sharedPrefixes() * Math.pow(random.nextDouble(), 2)),
                    kind.sharedTokens()),
                new PromptPart("own" + random.nextLong(), kind.ownTokens()));
    PlacementRequest request =
        new PlacementRequest(
            SERVICE,
            kind.priority(),
            kind.sharedTokens() + kind.ownTokens(),
            isPlain() ? 0 : kind.outputTokens(),
            parts,
            kind.objective(),
            kind.timeout(),
            Set.of());
    send(new Call(kind, request, ms), ms);
  }

  private void send(Call call, long ms) {
    Instant now = start.plusMillis(ms);
    call.entry = random.nextInt(entryCount);
    for (int i = 0; i < MAX_SENDS; i++) {
      PlacementRequest request = requestAt(call, ms);
      Placement placement = placer.place(request, context(call), now);
      if (placement instanceof Placement.ToRegion target) {
        regionLoads.get(call.entry).recordRelayed(target.region(), request, entryCount, now);
        relay(call, ms);
        return;
      }
      if (placement instanceof Placement.Refused refused) {
        refuse(call, refused.retryAfter(), ms);
        return;
      }
      if (sendTo(call, (Placement.ToEndpoint) placement, ms)) {
        return;
      }
    }
    refuseToCaller(call);
  }

  private void relay(Call call, long ms) {
    ReportedLoadReplay other = otherRegion.orElseThrow();
    results.relayed++;
    call.origin = Optional.of(this);
    long arrivesAt = ms + CROSS_REGION_MILLIS;
    other.schedule(arrivesAt, () -> other.send(call, arrivesAt));
  }

  /** Returns a relayed call to its origin; lets the caller of another one retry once. */
  private void refuse(Call call, Duration retryAfter, long ms) {
    if (call.origin.isPresent()) {
      ReportedLoadReplay origin = call.origin.get();
      call.origin = Optional.empty();
      call.excludedRegions.add(region);
      long returnsAt = ms + CROSS_REGION_MILLIS;
      origin.schedule(returnsAt, () -> origin.send(call, returnsAt));
    } else if (call.retried) {
      refuseToCaller(call);
    } else {
      call.retried = true;
      call.excludedRegions.clear();
      long returnsAt = ms + Math.max(1, retryAfter.toMillis());
      schedule(returnsAt, () -> send(call, returnsAt));
    }
  }

  private void refuseToCaller(Call call) {
    call.origin.orElse(this).results.refusedToCaller++;
  }

  private PlacementRequest requestAt(Call call, long ms) {
    PlacementRequest r = call.request;
    return new PlacementRequest(
        r.service(),
        r.priority(),
        r.promptTokens(),
        r.expectedOutputTokens(),
        r.parts(),
        r.firstByteObjective(),
        call.kind.timeout().minusMillis(ms - call.arrivedAt),
        call.excluded);
  }

  private Placer.Context context(Call call) {
    List<EndpointTracker> trackers = engines.stream().map(e -> e.trackers.get(call.entry)).toList();
    boolean relayed = call.origin.isPresent();
    return new Placer.Context(
        trackers,
        "entry-" + call.entry,
        IntStream.range(0, entryCount).mapToObj(e -> "entry-" + e).toList(),
        50,
        relayed ? Optional.empty() : otherRegion.map(other -> regionLoads.get(call.entry)),
        Set.of(),
        call.excludedRegions,
        relayed,
        /* hasNeighbour= */ () -> false,
        region,
        trackers,
        spec,
        Set.of(),
        Optional.empty());
  }

  /** Sends a call and returns whether the endpoint accepts it. */
  private boolean sendTo(Call call, Placement.ToEndpoint target, long ms) {
    Instant now = start.plusMillis(ms);
    EndpointTracker tracker = target.endpoint();
    Engine engine = engineOf(tracker);
    long fetched = target.fetch().map(Placement.PrefixFetch::tokens).orElse(0L);
    call.inFlightRequest = tracker.startRequest(call.request, fetched, 468_000, now);
    results.arrivals++;
    results.arrivalsByEndpoint[engine.index]++;
    if (engine.running.size() >= endpoints.slots()
        && engine.waiting.size() >= endpoints.queueLimit()) {
      results.refusedAsFull++;
      report(engine, call.entry, ms);
      call.inFlightRequest.finish(Outcome.NOT_RUN, now);
      tracker.markFull(now);
      call.excluded.add(tracker.record().id());
      return false;
    }
    call.source = target.fetch().map(f -> engineOf(f.source()));
    engine.waiting.add(call);
    return true;
  }

  private Engine engineOf(EndpointTracker tracker) {
    return engines.get(Integer.parseInt(tracker.record().id().substring(2)));
  }

  /** Sends the load header of a response to an entry. */
  private void report(Engine engine, int entry, long ms) {
    if (!silence.contains(ms)) {
      engine
          .trackers
          .get(entry)
          .recordReportedLoad(
              new ReportedLoad(
                  engine.running.size(),
                  engine.waiting.size(),
                  endpoints.slots(),
                  (int) Math.round(100 * engine.pace),
                  start.plusMillis(ms)));
    }
  }

  private void advance(Engine engine, long ms) {
    final Instant now = start.plusMillis(ms);
    double work = 1 / engine.pace;
    Optional<Call> prefilling =
        engine.running.stream()
            .filter(c -> c.remainingPrefillMillis > 0)
            .min(
                Comparator.comparingInt((Call c) -> c.kind.priority())
                    .thenComparingLong(c -> c.arrivedAt));
    boolean stepsShared = prefilling.isPresent() && endpoints.chunkTokens() > 0;
    double prefillWork = stepsShared ? work * endpoints.chunkShare() : work;
    double decodeWork = stepsShared ? work * (1 - endpoints.chunkShare()) : work;
    prefilling.ifPresent(c -> c.remainingPrefillMillis -= prefillWork);
    prefilling.filter(c -> c.remainingPrefillMillis <= 0).ifPresent(c -> firstByte(engine, c, ms));
    List<Call> ended = new ArrayList<>();
    for (Call call : engine.running) {
      if (call.remainingPrefillMillis <= 0) {
        call.remainingMillis -= decodeWork;
        if (call.remainingMillis <= 0) {
          ended.add(call);
        }
      }
    }
    for (Call call : ended) {
      if (endpoints.chunkTokens() > 0) {
        call.inFlightRequest.eventsReceived(call.kind.outputTokens(), now);
      }
      if (isPlain()) {
        firstByte(engine, call, ms);
      }
      call.inFlightRequest.finish(Outcome.ANSWERED, now);
      engine.running.remove(call);
    }
    while (engine.running.size() < endpoints.slots() && !engine.waiting.isEmpty()) {
      startRunning(engine, engine.waiting.remove());
    }
  }

  private void startRunning(Engine engine, Call call) {
    call.remainingMillis = call.kind.outputTokens() * endpoints.tokenMillis();
    if (!isPlain()) {
      long own = engine.cache.cachedTokensOf(call.request.parts());
      long fetched =
          call.source.map(s -> s.cache.cachedTokensOf(call.request.sharedParts())).orElse(0L);
      long prefill = call.request.promptTokens() - Math.max(own, fetched);
      results.sharedTokensPrefilled += Math.max(0, prefill - call.kind.ownTokens());
      engine.cache.add(call.request.parts(), 468_000);
      call.remainingPrefillMillis = Math.max(1, prefill / endpoints.prefillTokensPerMilli());
    }
    engine.running.add(call);
  }

  private void firstByte(Engine engine, Call call, long ms) {
    Instant now = start.plusMillis(ms);
    report(engine, call.entry, ms);
    call.inFlightRequest.bytesReceived(now);
    if (endpoints.chunkTokens() > 0) {
      call.inFlightRequest.eventsReceived(0, now);
    }
    if (!isPlain()) {
      engine.trackers.forEach(t -> t.recordPrefix(call.request.sharedParts(), 468_000));
    }
    long receivedAt = call.origin.isPresent() ? ms + CROSS_REGION_MILLIS : ms;
    if (receivedAt - call.arrivedAt <= call.kind.objective().toMillis()) {
      Results origin = call.origin.orElse(this).results;
      origin.onTime++;
      origin.ofSecondAt(call.arrivedAt)[1]++;
      origin.onTimeByKind.merge(call.kind.name(), 1, Integer::sum);
    }
  }

  /** Sends an entry's load and its endpoints' changed reports to the aggregator. */
  private void tell(int entry, Instant now) {
    for (Engine engine : engines) {
      EndpointTracker own = engine.trackers.get(entry);
      tellLoad(entry, engine, own, now);
      String id = own.record().id();
      Optional<ReportedLoad> report =
          own.recentOwnReport(now).filter(r -> !r.equals(lastTold.get(entry).get(id)));
      report.ifPresent(
          r -> {
            lastTold.get(entry).put(id, r);
            held.add(at -> forOthers(engine, entry).forEach(t -> t.recordPeerReportedLoad(r)));
          });
    }
  }

  private void tellLoad(int entry, Engine engine, EndpointTracker own, Instant now) {
    String key = entry + "/" + engine.index;
    int inFlight = own.inFlight();
    boolean toldBefore = toldLoads.remove(key);
    if (inFlight > 0) {
      toldLoads.add(key);
    }
    if (inFlight > 0 || toldBefore) {
      List<FleetMessage.PendingPrompt> prompts = own.pendingPrompts(now);
      held.add(
          at ->
              forOthers(engine, entry)
                  .forEach(t -> t.updatePeerLoad("entry-" + entry, inFlight, prompts, at)));
    }
  }

  private static List<EndpointTracker> forOthers(Engine engine, int entry) {
    return IntStream.range(0, engine.trackers.size())
        .filter(e -> e != entry)
        .mapToObj(engine.trackers::get)
        .toList();
  }
}
