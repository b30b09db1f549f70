package org.lacewingcroft.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import org.lacewingcroft.fleet.FleetMessage.News;
import org.lacewingcroft.limit.FleetQuotas;
import org.lacewingcroft.limit.UsageReport;
import org.lacewingcroft.route.Organisation;
import org.lacewingcroft.route.Quota;

/**
 * Entries and control instances in three regions that enforce quotas in virtual time, over links
 * that delay and lose messages. Counts what each organisation's requests run at the endpoints.
 */
final class QuotaFleet {
  static final List<String> REGIONS = List.of("north", "south", "west");
  static final String HOT = "hot";
  static final String CALM = "calm";

  /** The window over which the runs of an organisation are counted. */
  static final Duration WINDOW = Duration.ofSeconds(8);

  /** Time until a lowered quota is active at every entry. */
  static final Duration APPLY_TIME = Duration.ofSeconds(1);

  private static final Duration STEP = Duration.ofMillis(20);
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(120);
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);

  private static final Duration AGGREGATED_INTERVAL = Duration.ofSeconds(1);
  private static final Duration DIRECT_INTERVAL = Duration.ofMillis(400);
  private static final Duration MEMBERSHIP_WINDOW = Duration.ofSeconds(10);
  private static final Duration SHUTDOWN_GRACE = Duration.ofSeconds(8);

  /** Time without a report after which a control instance does not list an entry. */
  private static final Duration ENTRY_TIMEOUT = Duration.ofMillis(1_700);

  /** Time from the start of a control instance until its lists of entries are complete. */
  private static final Duration DISCOVERY_TIME = Duration.ofSeconds(2);

  private static final double MAX_OVERSHOOT_FACTOR = 1.1;
  private static final double SLACK_TOKENS = 140_000;

  final Map<String, Entry> entries = new TreeMap<>();
  final Map<String, Control> controls = new TreeMap<>();
  final Map<String, Usage> usage = new TreeMap<>();
  private final Network network = new Network();
  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::order));
  private long eventCount;
  private Instant now = Instant.ofEpochSecond(1_000_000);
  private final Instant start = now;
  private Quota quota;

  private record Event(Instant at, long order, Runnable action) {}

  /** What one organisation asks for, and what has run for it. */
  final class Usage {
    private final Deque<long[]> runs = new ArrayDeque<>();
    private final Deque<double[]> limits = new ArrayDeque<>();
    private double tokensPerSecond;
    private double pendingTokens;
    private long tokensInWindow;
    double worstExcessTokens = Double.NEGATIVE_INFINITY;
    Instant worstWindowEnd = start;
    int requests;
    int rejected;

    private void run(long cost) {
      runs.add(new long[] {now.toEpochMilli(), cost});
      tokensInWindow += cost;
    }

    private void check() {
      long oldest = now.minus(WINDOW).toEpochMilli();
      while (!runs.isEmpty() && runs.peek()[0] <= oldest) {
        tokensInWindow -= runs.remove()[1];
      }
      double allowed =
          (quota.perSecond() * WINDOW.toSeconds() + quota.burst()) * MAX_OVERSHOOT_FACTOR
              + SLACK_TOKENS;
      limits.add(new double[] {now.toEpochMilli(), allowed});
      while (limits.peek()[0] < oldest - APPLY_TIME.toMillis()) {
        limits.remove();
      }
      double excess = tokensInWindow - limits.stream().mapToDouble(l -> l[1]).max().orElseThrow();
      if (excess > worstExcessTokens) {
        worstExcessTokens = excess;
        worstWindowEnd = now;
      }
    }
  }

  /** The links between instances. */
  private final class Network {
    private final Map<String, Instant> lastDelivery = new HashMap<>();
    private final List<BiPredicate<String, String>> cuts = new ArrayList<>();
    private double lossRate;
    private Duration busyTime = Duration.ofMillis(40);

    private void send(String from, Collection<String> receivers, FleetMessage message) {
      for (String to : receivers) {
        boolean lost =
            random.nextDouble() < lossRate || cuts.stream().anyMatch(c -> c.test(from, to));
        if (!lost) {
          deliver(from, to, message);
        }
      }
    }

    private void deliver(String from, String to, FleetMessage message) {
      long delayMillis =
          (regionOf(from).equals(regionOf(to)) ? 2 : 60)
              + random.nextInt(1 + (int) busyTime.toMillis());
      String link = from + ">" + to;
      Instant previous = lastDelivery.getOrDefault(link, Instant.MIN);
      Instant planned = now.plusMillis(delayMillis);
      Instant at = planned.isBefore(previous) ? previous : planned;
      lastDelivery.put(link, at);
      schedule(at, () -> receive(to, message));
    }
  }

  /** An entry; each start creates a new one without any state. */
  final class Entry {
    final String name;
    final String region;
    FleetQuotas quotas;
    private AggregatorSelector aggregators;
    private EntryMembership membership;
    private Optional<String> currentAggregator;
    private List<EntryInfo> listed;
    private Instant nextReportAt;
    private Instant nextHeartbeatAt;
    private boolean up;

    /** Whether it has received the organisations, without which it serves no requests. */
    private boolean ready;

    private Entry(String name, String region) {
      this.name = name;
      this.region = region;
    }

    private void start() {
      quotas = new FleetQuotas(region, random::nextLong);
      membership = new EntryMembership(name, MEMBERSHIP_WINDOW, SHUTDOWN_GRACE);
      currentAggregator = Optional.empty();
      ready = false;
      aggregators = new AggregatorSelector(region);
      listed = List.of();
      nextReportAt = now.plusMillis(random.nextInt((int) REPORT_INTERVAL.toMillis()));
      nextHeartbeatAt = now;
      up = true;
    }

    private void sendDue() {
      if (!nextHeartbeatAt.isAfter(now)) {
        nextHeartbeatAt = now.plus(HEARTBEAT_INTERVAL);
        network.send(name, controls.keySet(), entryReport(info()));
      }
      if (!nextReportAt.isAfter(now)) {
        nextReportAt = now.plus(REPORT_INTERVAL);
        reportUsage();
      }
    }

    private void reportUsage() {
      Optional<String> aggregator = aggregators.select(now);
      if (!aggregator.equals(currentAggregator)) {
        currentAggregator = aggregator;
        quotas.restartCounter(now);
      }
      Duration interval = aggregator.isPresent() ? AGGREGATED_INTERVAL : DIRECT_INTERVAL;
      Optional<UsageReport> report = quotas.reportIfDue(interval, now);
      if (report.isEmpty()) {
        return;
      }
      News news = News.ofQuotaUsage(report.stream().toList());
      aggregator.ifPresent(a -> aggregators.onUpdateSent(now));
      List<String> receivers =
          aggregator
              .map(List::of)
              .orElseGet(
                  () -> listed.stream().map(EntryInfo::name).filter(n -> !n.equals(name)).toList());
      network.send(name, receivers, new FleetMessage.EntryNews(name, region, false, news));
    }

    private void receive(FleetMessage message) {
      if (message instanceof FleetMessage.ControlPulse pulse) {
        aggregators.onControlPulse(pulse.from(), pulse.region(), now);
        membership.onContact(now);
        membership.onMajorityContact(now);
        setEntries();
        if (!ready) {
          ready = true;
          quotas.configure(organisations(), now);
        }
      } else if (message instanceof FleetMessage.EntryList list) {
        listed = list.entries();
        membership.update(listed, now);
        setEntries();
      } else if (message instanceof FleetMessage.NewsDigest batch) {
        aggregators.onBatch(batch.from());
        quotas.apply(batch.news().quotaUsage(), now);
      } else if (message instanceof FleetMessage.EntryNews news) {
        quotas.apply(news.news().quotaUsage(), now);
      }
    }

    private void setEntries() {
      quotas.setEntries(membership.countByRegion(), membership.isDiscoveryComplete(now), now);
    }

    private EntryInfo info() {
      return new EntryInfo(name, region, region + "-a", name, name, name);
    }
  }

  /** A control instance with its aggregator; each start creates a new one without any state. */
  final class Control {
    private final String name;
    private final String region;
    private final Map<EntryInfo, Instant> lastReportAt = new HashMap<>();
    private UpdateAggregator aggregator;
    private Instant nextTickAt;
    private Instant startedAt;
    private boolean up;

    private Control(String name, String region) {
      this.name = name;
      this.region = region;
    }

    private void start() {
      startedAt = now;
      lastReportAt.clear();
      aggregator =
          new UpdateAggregator(
              (receivers, message) -> network.send(name, receivers, message),
              () -> now,
              name,
              r -> live().stream().filter(e -> e.region().equals(r)).map(EntryInfo::name).toList(),
              r -> Set.of(),
              () -> controls.keySet().stream().filter(c -> !c.equals(name)).toList(),
              random::nextLong);
      nextTickAt = now;
      up = true;
    }

    private List<EntryInfo> live() {
      return lastReportAt.entrySet().stream()
          .filter(e -> e.getValue().plus(ENTRY_TIMEOUT).isAfter(now))
          .map(Map.Entry::getKey)
          .sorted(Comparator.comparing(EntryInfo::name))
          .toList();
    }

    private void sendDue() {
      if (!nextTickAt.isAfter(now)) {
        nextTickAt = now.plus(UpdateAggregator.TICK_INTERVAL);
        aggregator.sendDue();
      }
    }

    private void receive(FleetMessage message) {
      if (message instanceof FleetMessage.EntryReport report) {
        lastReportAt.put(report.entry(), now);
        boolean complete = startedAt.plus(DISCOVERY_TIME).isBefore(now);
        network.send(
            name,
            List.of(report.entry().name()),
            new FleetMessage.ControlPulse(name, region, true, complete, 1, 0, List.of(), 0));
        network.send(
            name, List.of(report.entry().name()), new FleetMessage.EntryList(name, live()));
      } else if (message instanceof FleetMessage.EntryNews news) {
        aggregator.onUpdates(news);
      } else if (message instanceof FleetMessage.RemoteNews news) {
        aggregator.onUpdates(news);
      }
    }
  }

  /** Creates a fleet that is up; its links lose nothing. */
  QuotaFleet(int entryCount, Quota quota, long seed) {
    this.random = new Random(seed);
    this.quota = quota;
    usage.put(HOT, new Usage());
    usage.put(CALM, new Usage());
    for (String region : REGIONS) {
      controls.put("control-" + region, new Control("control-" + region, region));
    }
    for (int i = 0; i < entryCount; i++) {
      String region = REGIONS.get(i % REGIONS.size());
      String name = "entry-%s-%03d".formatted(region, i);
      entries.put(name, new Entry(name, region));
    }
    controls.values().forEach(Control::start);
    entries.values().forEach(Entry::start);
  }

  private static FleetMessage entryReport(EntryInfo info) {
    return new FleetMessage.EntryReport(info, true, true, 1, 0, 0, 0, 0);
  }

  private static String regionOf(String instance) {
    return instance.split("-")[1];
  }

  private List<Organisation> organisations() {
    return usage.keySet().stream().map(this::organisation).toList();
  }

  private Organisation organisation(String name) {
    return new Organisation(name, Set.of(name), OptionalInt.empty(), Optional.of(quota), Set.of());
  }

  void setDemand(String organisation, double tokensPerSecond) {
    usage.get(organisation).tokensPerSecond = tokensPerSecond;
  }

  /** Sets the share of messages that every link loses. */
  void setLossRate(double lossRate) {
    network.lossRate = lossRate;
  }

  /** Sets the maximum time for which a message waits for the receiver's event loop. */
  void setBusyTime(Duration busyTime) {
    network.busyTime = busyTime;
  }

  /** Cuts the links of all pairs of instances for which the predicate holds. */
  void cut(BiPredicate<String, String> links) {
    network.cuts.add((from, to) -> links.test(from, to) || links.test(to, from));
  }

  void healCuts() {
    network.cuts.clear();
  }

  Quota quota() {
    return quota;
  }

  void setQuota(Quota newQuota) {
    quota = newQuota;
    for (Entry entry : entries.values()) {
      if (entry.up && entry.ready) {
        entry.quotas.configure(organisations(), now);
      }
    }
  }

  void stop(Collection<String> names) {
    names.forEach(
        name -> {
          Optional.ofNullable(entries.get(name)).ifPresent(e -> e.up = false);
          Optional.ofNullable(controls.get(name)).ifPresent(c -> c.up = false);
        });
  }

  void start(Collection<String> names) {
    names.forEach(
        name -> {
          Optional.ofNullable(entries.get(name)).ifPresent(Entry::start);
          Optional.ofNullable(controls.get(name)).ifPresent(Control::start);
        });
  }

  /** Schedules an action at a time since the start of the fleet. */
  void at(double seconds, Runnable action) {
    schedule(start.plusMillis(Math.round(seconds * 1_000)), action);
  }

  private void schedule(Instant at, Runnable action) {
    events.add(new Event(at, eventCount++, action));
  }

  private void receive(String to, FleetMessage message) {
    Optional.ofNullable(entries.get(to)).filter(e -> e.up).ifPresent(e -> e.receive(message));
    Optional.ofNullable(controls.get(to)).filter(c -> c.up).ifPresent(c -> c.receive(message));
  }

  /** Runs until a time since the start of the fleet. */
  void runUntil(double seconds) {
    Instant end = start.plusMillis(Math.round(seconds * 1_000));
    while (now.isBefore(end)) {
      now = now.plus(STEP);
      while (!events.isEmpty() && !events.peek().at().isAfter(now)) {
        events.remove().action().run();
      }
      usage.forEach(this::sendRequests);
      entries.values().stream().filter(e -> e.up).forEach(Entry::sendDue);
      controls.values().stream().filter(c -> c.up).forEach(Control::sendDue);
      usage.values().forEach(Usage::check);
    }
  }

  /** One request in ten has a long prompt. */
  private long nextCost() {
    return random.nextInt(10) == 0 ? 6_000 + random.nextInt(12_000) : 500 + random.nextInt(3_800);
  }

  private void sendRequests(String name, Usage organisationUsage) {
    List<Entry> serving = entries.values().stream().filter(e -> e.up && e.ready).toList();
    if (serving.isEmpty()) {
      return;
    }
    organisationUsage.pendingTokens += organisationUsage.tokensPerSecond * STEP.toMillis() / 1_000;
    while (organisationUsage.pendingTokens > 0) {
      long cost = nextCost();
      organisationUsage.pendingTokens -= cost;
      organisationUsage.requests++;
      Entry entry = serving.get(random.nextInt(serving.size()));
      if (entry.quotas.charge(organisation(name), cost, now).isPresent()) {
        organisationUsage.rejected++;
      } else {
        organisationUsage.run(cost);
      }
    }
  }
}
