package org.lacewingcroft.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.lacewingcroft.misc.BoundedMap;
import org.lacewingcroft.route.Organisation;
import org.lacewingcroft.route.Quota;

/**
 * Divides the capacity of a region's services between organisations while it does not suffice, as
 * enforced by one of many entries at admission.
 *
 * <p>Designed for a region's peak at which 2 of 16 organisations send eight times their usual load.
 * Placement refuses whatever arrives while the wait is too long, so that each organisation loses
 * the same part of what it asks for, and those that ask for most take the capacity of the others.
 *
 * <p>A service is saturated from a refusal by placement until {@link #SATURATION_TIME} after the
 * last one, or after the last refusal for an exceeded share, without which placement would refuse.
 * The entries of the region then exchange what organisations ask for and what is admitted for them,
 * and each admits such a part of an organisation's requests that all entries together admit its
 * max-min fair share. The part depends on the demand and not on what was admitted last: what other
 * entries admitted is known with a delay of up to 0.4 s, in which an organisation at eight times
 * its share could exceed it again and again.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class FairShares {
  /** Time after the last refusal by placement for which a service is saturated. */
  static final Duration SATURATION_TIME = Duration.ofSeconds(2);

  /** Age from which the received usage is not used. */
  private static final Duration PEER_USAGE_TTL = Duration.ofSeconds(1);

  /**
   * Factor between what was admitted in the window and the capacity that is divided. Above 1, so
   * that what is admitted grows until placement refuses; what exceeds the capacity is refused by
   * placement, whatever organisation sent it.
   */
  private static final double CAPACITY_HEADROOM = 1.1;

  /**
   * The same factor while placement has not refused for {@link #PROBING_DELAY}, so that the
   * estimate of the capacity recovers after a dip or a burst. In the replay of FairSharesTest, 1.15
   * still refused requests 4 s after the burst, and 1.3 served 0.87 instead of 0.94 of what the
   * smallest organisation asked for.
   */
  private static final double PROBING_HEADROOM = 1.2;

  /** Longer than usage takes from one entry to the others, which is up to 0.5 s. */
  private static final Duration PROBING_DELAY = Duration.ofMillis(600);

  /**
   * Time for which the shares are used before they are computed again, shorter than the interval of
   * the messages that change them (120 ms).
   */
  private static final Duration SHARES_TTL = Duration.ofMillis(50);

  /** Part of an organisation's mean admission that its less urgent requests get at least. */
  private static final double MIN_ADMISSION_OF_MEAN = 0.25;

  /**
   * Factor on the admission of a request whose caller waited for the stated time, and divisor for
   * one whose caller did not.
   */
  private static final double WAITED_FACTOR = 2;

  /** Factor by which a request counts that is sent before the stated time. */
  private static final int EARLY_REPEAT_FACTOR = 2;

  /** Credit that an organisation starts with, so that the parts admitted are right on average. */
  private static final double INITIAL_CREDIT = 0.5;

  /** Minimum retry delay returned to a refused caller, as that of placement. */
  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(300);

  /** Maximum number of refused callers retained. */
  private static final int MAX_CALLERS = 4_096;

  /** Time after the stated one for which a refused caller is retained. */
  private static final Duration CALLER_RETENTION = Duration.ofSeconds(4);

  /**
   * Separates the fields of a usage key. Organisation names do not contain it, so that builds that
   * know only the usage of quotas ignore these keys.
   */
  private static final String SEPARATOR = "\u0001";

  private static final int KEY_FIELDS = 6;

  private final String region;
  private final Map<String, Pool> pools = new TreeMap<>();
  private final Map<String, Instant> retryTimeByCaller = BoundedMap.evictingOldest(MAX_CALLERS);
  private Map<String, Double> weights = Map.of();
  private Set<String> organisations = Set.of();

  /**
   * A request as far as its admission depends on it.
   *
   * @param organisation the organisation that sent it
   * @param service the service that runs it
   * @param priority its priority, 0 the most urgent
   * @param cost tokens for an engine, 1 for a plain service
   * @param caller identifies the caller's connection
   */
  public record Request(
      String organisation, String service, int priority, long cost, String caller) {}

  /**
   * What this entry knows of the other entries.
   *
   * @param entryCount the number of the region's entries
   * @param connected whether this entry reaches a control instance; one that does not, and has not
   *     received recent usage either, is isolated and admits all
   */
  public record Peers(int entryCount, boolean connected) {}

  /** What usage is of. */
  private enum Kind {
    /** What an organisation asked for at a priority. */
    DEMAND,
    /** What was admitted for an organisation. */
    ADMITTED,
    /** Requests that placement refused for overload. */
    REFUSED,
    /** Requests that were refused because of an exceeded share. */
    LIMITED
  }

  private record UsageKey(Kind kind, String organisation, int priority) {
    private String encode(String region, String service) {
      return SEPARATOR
          + String.join(
              SEPARATOR, kind.name(), region, service, Integer.toString(priority), organisation);
    }
  }

  /**
   * A division of the capacity between organisations.
   *
   * @param demands the demand by organisation
   * @param priorityDemands the demand by organisation and priority
   * @param shares the share by organisation
   */
  private record Division(
      Map<String, Double> demands,
      Map<String, Map<Integer, Double>> priorityDemands,
      Map<String, Double> shares) {}

  /** The usage of one service by callers of this region. */
  private static final class Pool {
    private final SlidingSums<UsageKey> own = new SlidingSums<>();
    private final SlidingSums<UsageKey> peers = new SlidingSums<>();
    private final Map<UsageKey, Long> unreported = new HashMap<>();
    private final Map<UsageKey, Long> unconfirmed = new HashMap<>();
    private final Map<String, Double> credits = new HashMap<>();
    private Division division = new Division(Map.of(), Map.of(), Map.of());
    private Instant dividedAt = Instant.MIN;
    private Instant lastOverloadAt = Instant.MIN;
    private Instant lastLimitedAt = Instant.MIN;
    private Instant lastPeerUsageAt = Instant.MIN;

    private boolean isSaturated(Instant now) {
      Instant oldest = now.minus(SATURATION_TIME);
      return lastOverloadAt.isAfter(oldest) || lastLimitedAt.isAfter(oldest);
    }

    private double headroom(Instant now) {
      return lastOverloadAt.isAfter(now.minus(PROBING_DELAY))
          ? CAPACITY_HEADROOM
          : PROBING_HEADROOM;
    }

    private void recordLimited(Instant now) {
      lastLimitedAt = now;
      unreported.merge(new UsageKey(Kind.LIMITED, "", 0), 1L, Long::sum);
    }

    private void record(UsageKey key, long amount, Instant now) {
      own.add(key, amount, now);
      unreported.merge(key, amount, Long::sum);
    }

    private boolean hasRecentPeerUsage(Instant now) {
      return lastPeerUsageAt.isAfter(now.minus(PEER_USAGE_TTL));
    }

    private Map<UsageKey, Double> usage(Peers peersOfEntry, Instant now) {
      Map<UsageKey, Double> usage = new HashMap<>(own.sums(now));
      if (hasRecentPeerUsage(now)) {
        peers.sums(now).forEach((key, sum) -> usage.merge(key, sum, Double::sum));
      } else {
        usage.replaceAll((key, sum) -> sum * Math.max(1, peersOfEntry.entryCount()));
      }
      return usage;
    }

    private void reset() {
      unreported.clear();
      unconfirmed.clear();
      credits.clear();
      peers.clear();
      lastPeerUsageAt = Instant.MIN;
    }
  }

  /** Creates shares of the services of a region; {@link #configure} adds the organisations. */
  public FairShares(String region) {
    this.region = region;
  }

  /** Applies the active organisations. Without any, every request is admitted. */
  public void configure(Collection<Organisation> active) {
    organisations = active.stream().map(Organisation::name).collect(Collectors.toUnmodifiableSet());
    Map<Quota.Unit, Double> meanByUnit =
        active.stream()
            .flatMap(o -> o.quota().stream())
            .collect(
                Collectors.groupingBy(Quota::unit, Collectors.averagingDouble(Quota::perSecond)));
    Map<String, Double> byName = new HashMap<>();
    for (Organisation organisation : active) {
      organisation
          .quota()
          .filter(q -> q.perSecond() > 0)
          .ifPresent(
              q -> byName.put(organisation.name(), q.perSecond() / meanByUnit.get(q.unit())));
    }
    weights = Map.copyOf(byName);
    if (organisations.isEmpty()) {
      pools.clear();
      retryTimeByCaller.clear();
    }
  }

  /**
   * Counts a request and decides whether it is admitted. One that does not run afterwards has to be
   * passed to {@link #refund}.
   *
   * @return empty if it is admitted, else the delay until its organisation is back within its share
   */
  public Optional<Duration> admit(Request request, Peers peers, Instant now) {
    if (!organisations.contains(request.organisation())) {
      return Optional.empty();
    }
    Pool pool = pools.computeIfAbsent(request.service(), s -> new Pool());
    Optional<Instant> retryTime =
        Optional.ofNullable(retryTimeByCaller.remove(callerKey(request)))
            .filter(at -> at.plus(CALLER_RETENTION).isAfter(now));
    boolean early = retryTime.filter(now::isBefore).isPresent();
    pool.record(
        new UsageKey(Kind.DEMAND, request.organisation(), request.priority()),
        request.cost() * (early ? EARLY_REPEAT_FACTOR : 1),
        now);
    boolean isolated = !peers.connected() && !pool.hasRecentPeerUsage(now);
    if (pool.isSaturated(now) && !isolated) {
      Admission admission = admission(request, divisionOf(pool, peers, now));
      double part = admission.part();
      if (retryTime.isPresent()) {
        part = early ? part / WAITED_FACTOR : Math.min(1, part * WAITED_FACTOR);
      }
      if (admission.limited() && !takeCredit(pool, request, part)) {
        Duration retryAfter = early ? Duration.between(now, retryTime.get()) : admission.delay();
        Duration bounded = retryAfter.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : retryAfter;
        retryTimeByCaller.put(callerKey(request), now.plus(bounded));
        pool.recordLimited(now);
        return Optional.of(bounded);
      }
    }
    pool.record(new UsageKey(Kind.ADMITTED, request.organisation(), 0), request.cost(), now);
    return Optional.empty();
  }

  private static String callerKey(Request request) {
    return request.organisation() + SEPARATOR + request.caller();
  }

  /**
   * The part of an organisation's demand at one priority that is admitted.
   *
   * @param limited whether the organisation asks for more than its share
   * @param part the part that is admitted, between 0 and 1
   * @param delay the time until the organisation is back within its share if it sends nothing more
   */
  private record Admission(boolean limited, double part, Duration delay) {
    private static final Admission UNLIMITED = new Admission(false, 1, Duration.ZERO);
  }

  private Division divisionOf(Pool pool, Peers peers, Instant now) {
    if (pool.dividedAt.isBefore(now.minus(SHARES_TTL))) {
      pool.division = divide(pool.usage(peers, now), pool.headroom(now));
      pool.dividedAt = now;
    }
    return pool.division;
  }

  private Division divide(Map<UsageKey, Double> usage, double headroom) {
    Map<String, Double> demands = new TreeMap<>();
    Map<String, Map<Integer, Double>> priorityDemands = new HashMap<>();
    double admitted = 0;
    for (Map.Entry<UsageKey, Double> entry : usage.entrySet()) {
      UsageKey key = entry.getKey();
      if (key.kind() == Kind.DEMAND) {
        demands.merge(key.organisation(), entry.getValue(), Double::sum);
        priorityDemands
            .computeIfAbsent(key.organisation(), o -> new TreeMap<>())
            .put(key.priority(), entry.getValue());
      } else if (key.kind() == Kind.ADMITTED) {
        admitted += entry.getValue();
      }
    }
    return new Division(
        demands, priorityDemands, MaxMinShares.of(headroom * admitted, demands, weights));
  }

  private static Admission admission(Request request, Division division) {
    String organisation = request.organisation();
    double demand = division.demands().getOrDefault(organisation, 0.0);
    double share = division.shares().getOrDefault(organisation, demand);
    if (share >= demand) {
      return Admission.UNLIMITED;
    }
    double part =
        partAt(request.priority(), share, demand, division.priorityDemands().get(organisation));
    long delayMillis = Math.round(SlidingSums.WINDOW.toMillis() * (1 - share / demand));
    return new Admission(true, part, Duration.ofMillis(delayMillis));
  }

  /**
   * Returns the part of the demand at a priority that is admitted: the share is given to the more
   * urgent requests first, except for a minimum that keeps the others from being starved.
   */
  private static double partAt(
      int priority, double share, double demand, Map<Integer, Double> demandByPriority) {
    double minimum = MIN_ADMISSION_OF_MEAN * share / demand;
    double left = share - minimum * demand;
    for (int urgency : new TreeSet<>(demandByPriority.keySet())) {
      double demanded = demandByPriority.get(urgency);
      double given = Math.min(left, (1 - minimum) * demanded);
      if (urgency == priority) {
        return minimum + given / demanded;
      }
      left -= given;
    }
    return minimum;
  }

  /**
   * Admits the given part of the requests of an organisation and priority: each adds the part to a
   * credit, and each admitted one takes 1 from it.
   */
  private static boolean takeCredit(Pool pool, Request request, double part) {
    String key = request.priority() + SEPARATOR + request.organisation();
    double credit = pool.credits.getOrDefault(key, INITIAL_CREDIT) + part;
    boolean admitted = credit >= 1;
    pool.credits.put(key, admitted ? credit - 1 : credit);
    return admitted;
  }

  /** Removes an admitted request that has not run from what was admitted. */
  public void refund(Request request, Instant now) {
    Optional.ofNullable(pools.get(request.service()))
        .filter(p -> organisations.contains(request.organisation()))
        .ifPresent(
            p ->
                p.record(
                    new UsageKey(Kind.ADMITTED, request.organisation(), 0), -request.cost(), now));
  }

  /** Records that placement refused a request of a caller of this region for overload. */
  public void recordOverload(String service, Instant now) {
    if (organisations.isEmpty()) {
      return;
    }
    Pool pool = pools.computeIfAbsent(service, s -> new Pool());
    pool.lastOverloadAt = now;
    pool.unreported.merge(new UsageKey(Kind.REFUSED, "", 0), 1L, Long::sum);
  }

  /** Returns the saturated services. */
  public Set<String> saturatedServices(Instant now) {
    return pools.entrySet().stream()
        .filter(e -> e.getValue().isSaturated(now))
        .map(Map.Entry::getKey)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  /**
   * Returns the usage of saturated services by this entry's callers since the last call, by a key
   * for the messages between entries.
   */
  public Map<String, Long> drainUnreportedUsage(Instant now) {
    Map<String, Long> usage = new HashMap<>();
    pools.forEach(
        (service, pool) -> {
          if (pool.isSaturated(now)) {
            pool.unreported.forEach(
                (key, amount) -> {
                  if (amount != 0) {
                    usage.put(key.encode(region, service), amount);
                    pool.unconfirmed.merge(key, amount, Long::sum);
                  }
                });
          } else {
            pool.reset();
          }
          pool.unreported.clear();
        });
    return usage;
  }

  /**
   * Applies the usage of all entries, as collected and sent by an aggregator.
   *
   * @param fleetUsage the usage by key, including what this entry has reported before
   */
  public void applyFleetUsage(Map<String, Long> fleetUsage, Instant now) {
    apply(fleetUsage, true, now);
  }

  /** Applies the usage that another entry reports. */
  public void applyPeerUsage(Map<String, Long> peerUsage, Instant now) {
    apply(peerUsage, false, now);
  }

  private void apply(Map<String, Long> usage, boolean includesOwn, Instant now) {
    if (organisations.isEmpty()) {
      return;
    }
    usage.forEach(
        (encoded, amount) -> {
          if (encoded.startsWith(SEPARATOR)) {
            apply(encoded.split(SEPARATOR, KEY_FIELDS), amount, includesOwn, now);
          }
        });
  }

  private void apply(String[] fields, long amount, boolean includesOwn, Instant now) {
    if (fields.length != KEY_FIELDS || !fields[2].equals(region)) {
      return;
    }
    UsageKey key;
    try {
      key = new UsageKey(Kind.valueOf(fields[1]), fields[5], Integer.parseInt(fields[4]));
    } catch (IllegalArgumentException unknownToThisBuild) {
      return;
    }
    Pool pool = pools.computeIfAbsent(fields[3], s -> new Pool());
    long own = includesOwn ? Math.min(amount, pool.unconfirmed.getOrDefault(key, 0L)) : 0;
    pool.unconfirmed.computeIfPresent(key, (k, sent) -> sent - own);
    long received = amount - own;
    switch (key.kind()) {
      case REFUSED -> pool.lastOverloadAt = received > 0 ? now : pool.lastOverloadAt;
      case LIMITED -> pool.lastLimitedAt = received > 0 ? now : pool.lastLimitedAt;
      default -> {
        pool.peers.add(key, received, now);
        pool.lastPeerUsageAt = now;
      }
    }
  }
}
