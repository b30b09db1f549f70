package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.lacewingcroft.fleet.EndpointRecord;
import org.lacewingcroft.fleet.EndpointState;
import org.lacewingcroft.fleet.FleetMessage;
import org.lacewingcroft.limit.EndpointRateLimit;
import org.lacewingcroft.misc.Rendezvous;

/**
 * Holds the state that one entry keeps about one endpoint in addition to its record: this entry's
 * requests in flight, the load that the region's other entries report, prefill speed, time per
 * output token, failures, and cached prompt prefixes. {@link Placer} bases its decisions on it.
 *
 * <p>Not thread-safe: confined to the entry's event loop thread.
 */
public final class EndpointTracker {
  /** Number of request priorities; the model engines' platform distinguishes ten. */
  public static final int PRIORITY_COUNT = 10;

  /** Prefill speed assumed before the first measurement: a large model on a recent accelerator. */
  private static final double INITIAL_PREFILL_TOKENS_PER_MILLI = 80;

  /** Bounds of a plausible prefill speed; measured samples are clamped to them. */
  private static final double MIN_PREFILL_TOKENS_PER_MILLI = 4;

  private static final double MAX_PREFILL_TOKENS_PER_MILLI = 120;

  /**
   * Shorter prefills are not sampled: their time depends more on the network than on the engine.
   */
  private static final long MIN_SAMPLE_TOKENS = 1_500;

  /** Weight of a new sample in the exponential moving averages, which cover about ten samples. */
  private static final double SAMPLE_WEIGHT = 0.1;

  /**
   * Time without a byte after which no new requests are sent to an endpoint with requests in flight
   * while another endpoint is available: engines send data of some stream many times per second,
   * and callers time out after two seconds.
   */
  private static final Duration UNRESPONSIVE_TIMEOUT = Duration.ofMillis(800);

  /** Time after which a recorded failure has half its weight. */
  private static final double FAILURE_HALF_LIFE_MILLIS = 2_000;

  /** Failure score below which an endpoint is used as a source of KV cache. */
  private static final double MAX_SOURCE_FAILURE_SCORE = 0.5;

  private EndpointRecord record;
  private final EndpointWarmUp warmUp = new EndpointWarmUp();
  private boolean replaced;
  private int inFlight;
  private final PrefillQueue prefillQueue = new PrefillQueue();
  private final EndpointOccupancy occupancy;
  private final List<InFlightRequest> openRequests = new ArrayList<>();

  /** Prefixes of all prompts sent to the endpoint, including those still being prefilled. */
  private final PrefixCacheModel expectedPrefixes = new PrefixCacheModel();

  /** Prefixes that the endpoint has prefilled, as shown by responses. */
  private final PrefixCacheModel confirmedPrefixes = new PrefixCacheModel();

  private final OutputTokenTime outputTokenTime = new OutputTokenTime();
  private final AdvertisedConditions conditions;

  /**
   * Prefill speed by priority, in tokens per millisecond. It is measured separately for each
   * priority, because the engine processes more urgent requests first even if they arrive later:
   * the speed left for less urgent requests drops as the load rises, and a wait estimated from the
   * engine's full speed would be far too short.
   */
  private final double[] prefillTokensPerMilli = new double[PRIORITY_COUNT];

  private final int[] speedSamples = new int[PRIORITY_COUNT];

  /** The paces at which the prefill speeds were measured, by priority. */
  private final PaceReference[] prefillPaces = new PaceReference[PRIORITY_COUNT];

  private final ServiceTime serviceTime = new ServiceTime();

  /** The failure score at the time of the last failure. */
  private double scoreAtLastFailure;

  private Instant lastFailureAt = Instant.EPOCH;

  /** When a byte last arrived, or a request was sent while none was in flight, if that is later. */
  private Instant lastByteAt = Instant.EPOCH;

  private final EndpointReachability reachability = new EndpointReachability();
  private Instant fullUntil = Instant.EPOCH;

  /** A request in flight at the endpoint. */
  public final class InFlightRequest {
    private final PrefillQueue.PendingPrompt prompt;
    private final double aheadTokens;
    private final double queuedPerSlot;
    private final EndpointOccupancy.Tracked tracked;
    private final Instant sentAt;
    private final boolean admittedCold;
    private Optional<Instant> lastEventAt = Optional.empty();
    private boolean firstByteReceived;
    private boolean finished;

    private InFlightRequest(
        PrefillQueue.PendingPrompt prompt, double aheadTokens, double queuedPerSlot) {
      this.prompt = prompt;
      this.aheadTokens = aheadTokens;
      this.queuedPerSlot = queuedPerSlot;
      this.tracked = occupancy.requestSent(prompt.sentAt());
      this.sentAt = prompt.sentAt();
      this.admittedCold = isCold(sentAt);
    }

    /**
     * Returns whether the request may still be written to the endpoint: it accepts requests, and
     * has not become cold since the request was admitted.
     */
    public boolean isStillAdmitted(Instant now) {
      return acceptsRequests(now) && (admittedCold || !isCold(now));
    }

    /** Returns when the request was sent. */
    public Instant sentAt() {
      return sentAt;
    }

    /**
     * Returns how many tokens of its prompt the endpoint had to prefill when the request was sent.
     */
    public long prefillTokens() {
      return prompt.tokens();
    }

    /** Records bytes of the response; the first ones mark the end of the prefill. */
    public void bytesReceived(Instant now) {
      lastByteAt = now;
      reachability.recordData(now);
      if (!firstByteReceived) {
        firstByteReceived = true;
        prefillQueue.prefilled(prompt, now);
        samplePrefillSpeed(now);
      }
    }

    /**
     * Records events of the response.
     *
     * @param newTokens the number of output tokens in them
     */
    public void eventsReceived(long newTokens, Instant now) {
      lastEventAt.ifPresent(
          at ->
              outputTokenTime.addSample(
                  Duration.between(at, now), newTokens, occupancy.pace(now), now));
      lastEventAt = Optional.of(now);
    }

    private void samplePrefillSpeed(Instant now) {
      double tokens = aheadTokens + prompt.tokens();
      long millis = Duration.between(sentAt, now).toMillis();
      if (tokens >= MIN_SAMPLE_TOKENS && millis > 0) {
        double sample = tokens / millis;
        double clamped =
            Math.max(MIN_PREFILL_TOKENS_PER_MILLI, Math.min(MAX_PREFILL_TOKENS_PER_MILLI, sample));
        int priority = prompt.priority();
        speedSamples[priority]++;
        prefillTokensPerMilli[priority] +=
            speedSampleWeight(priority, now) * (clamped - prefillTokensPerMilli[priority]);
        prefillPaces[priority].addSample(occupancy.pace(now), SAMPLE_WEIGHT);
      }
    }

    /**
     * Returns the weight of a sample of the prefill speed. Endpoints that report their load may
     * differ in speed, so that their first samples count more than the initial assumption.
     */
    private double speedSampleWeight(int priority, Instant now) {
      return hasRecentReport(now)
          ? Math.max(SAMPLE_WEIGHT, 1.0 / (speedSamples[priority] + 1))
          : SAMPLE_WEIGHT;
    }

    /** Records the end of the request; further calls have no effect. */
    public void finish(Outcome outcome, Instant now) {
      if (finished) {
        return;
      }
      finished = true;
      final boolean unresponsive = isUnresponsive(now);
      openRequests.remove(this);
      inFlight--;
      if (!firstByteReceived) {
        prefillQueue.remove(prompt);
      }
      if (outcome == Outcome.NOT_RUN) {
        tracked.withdraw();
      } else {
        tracked.end(now);
      }
      if (outcome == Outcome.ANSWERED) {
        double millis = Duration.between(sentAt, now).toMillis();
        serviceTime.addSample(millis, queuedPerSlot, occupancy.pace(now));
      } else if (outcome == Outcome.FAILED) {
        recordFailure(1, now);
      }
      if (unresponsive && (outcome == Outcome.FAILED || outcome == Outcome.CANCELLED)) {
        // Otherwise the endpoint would appear idle once its last overdue request has ended, and all
        // new requests would be sent to it again.
        reachability.recordSilence();
      }
    }
  }

  /** How a request ended at an endpoint. */
  public enum Outcome {
    /** The endpoint sent a complete response, whatever its status. */
    ANSWERED,
    /** The endpoint sent a server error, an incomplete response or nothing. */
    FAILED,
    /** The endpoint rejected the request without running it. */
    NOT_RUN,
    /** The caller disconnected, or this instance cancelled the request. */
    CANCELLED
  }

  /** Creates a tracker of an endpoint without advertised conditions. */
  public EndpointTracker(EndpointRecord record, Instant now) {
    this(record, new AdvertisedConditions(), new QueueLimit(), now);
  }

  /** Creates a tracker of an endpoint whose incarnation may already have advertised conditions. */
  EndpointTracker(
      EndpointRecord record, AdvertisedConditions conditions, QueueLimit queueLimit, Instant now) {
    this.conditions = conditions;
    this.occupancy = new EndpointOccupancy(queueLimit);
    Arrays.fill(prefillTokensPerMilli, INITIAL_PREFILL_TOKENS_PER_MILLI);
    Arrays.setAll(prefillPaces, p -> new PaceReference());
    update(record, now);
  }

  /** Replaces the record with a newer one of the same endpoint. */
  public void update(EndpointRecord newer, Instant now) {
    record = newer;
    replaced = false;
    warmUp.extendUntil(now.plusMillis(newer.coldMillis()));
  }

  /** Treats the endpoint as cold at least until an instant. */
  public void extendColdUntil(Instant until) {
    warmUp.extendUntil(until);
  }

  /** Returns the endpoint's newest record. */
  public EndpointRecord record() {
    return record;
  }

  /** Returns the conditions under which the endpoint accepts requests. */
  public AdvertisedConditions conditions() {
    return conditions;
  }

  /** Returns the rate limit that the endpoint advertises for all entries together. */
  public EndpointRateLimit rateLimit() {
    return conditions.rateLimit();
  }

  /** Returns whether the endpoint is still warming up, as far as is known. */
  public boolean isCold(Instant now) {
    return warmUp.isCold(now);
  }

  /**
   * Records that all of this entry's connections to the endpoint are lost, so that it may have
   * started again.
   *
   * @param reset whether one of them was reset, and not closed in an orderly way
   */
  public void recordConnectionsLost(boolean reset, Instant now) {
    warmUp.recordConnectionsLost(reset, now);
  }

  /** Returns whether it is unknown whether the endpoint has started again. */
  public boolean isUnverified() {
    return warmUp.isUnverified();
  }

  /**
   * Returns whether a health check is to show now whether the endpoint has started again: it is in
   * service, and no probe is under way or deferred after a failed one.
   */
  public boolean isVerificationDue(Instant now) {
    return warmUp.isUnverified() && mayProbe(now);
  }

  /**
   * Returns when this entry last received a byte of a response, or sent a request while it had none
   * in flight there, whichever is later.
   */
  public Instant lastByteAt() {
    return lastByteAt;
  }

  /** Returns the number of this entry's requests in flight at the endpoint. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns this entry's prompts that the endpoint has not prefilled yet. */
  public List<FleetMessage.PendingPrompt> pendingPrompts(Instant now) {
    return prefillQueue.ownPrompts().stream()
        .map(
            p ->
                new FleetMessage.PendingPrompt(
                    p.priority(), p.tokens(), Duration.between(p.sentAt(), now).toMillis()))
        .toList();
  }

  /** Replaces the load that another entry last reported for this endpoint. */
  public void updatePeerLoad(
      String entry, int peerInFlight, List<FleetMessage.PendingPrompt> prompts, Instant now) {
    occupancy.updatePeer(entry, peerInFlight, now);
    prefillQueue.updatePeer(
        entry,
        prompts.stream()
            .map(
                p ->
                    new PrefillQueue.PendingPrompt(
                        p.priority(), p.tokens(), now.minusMillis(p.ageMillis())))
            .toList(),
        now);
  }

  /**
   * Records a request that is sent to the endpoint now.
   *
   * @param fetchedTokens the number of prompt tokens whose KV cache the endpoint fetches instead of
   *     prefilling them
   */
  public InFlightRequest startRequest(
      PlacementRequest request, long fetchedTokens, long kvCapacityTokens, Instant now) {
    int priority = clampPriority(request.priority());
    double aheadTokens = tokensAhead(priority, now);
    long prefillTokens = Math.max(0, uncachedTokens(request) - fetchedTokens);
    InFlightRequest inFlightRequest =
        new InFlightRequest(
            new PrefillQueue.PendingPrompt(priority, prefillTokens, now),
            aheadTokens,
            queuedPerSlot(priority, now));
    if (inFlight == 0) {
      lastByteAt = now;
    }
    inFlight++;
    openRequests.add(inFlightRequest);
    prefillQueue.add(inFlightRequest.prompt);
    if (!request.parts().isEmpty()) {
      expectedPrefixes.add(request.parts(), kvCapacityTokens);
    }
    warmUp.recordRequest(now);
    rateLimit().recordSend(now);
    return inFlightRequest;
  }

  /** Records that a connection to the endpoint could not be established. */
  public void recordConnectFailure(Instant now) {
    reachability.recordConnectFailure();
    warmUp.recordConnectionsLost(/* reset= */ true, now);
  }

  /** Records a connection that was lost before the first byte of a response. */
  public void recordLostConnection() {
    reachability.recordLostConnection();
  }

  /**
   * Returns whether this entry should probe the endpoint: it is in service, its connections to this
   * entry fail, and no probe is under way or deferred after a failed one.
   */
  public boolean isProbeDue(Instant now) {
    return !isResponding(now) && mayProbe(now);
  }

  private boolean mayProbe(Instant now) {
    return record.state() == EndpointState.READY && !replaced && reachability.isProbeDue(now);
  }

  /** Records the start of a probe. */
  public void startProbe() {
    reachability.startProbe();
  }

  /**
   * Records that the endpoint responded to a probe.
   *
   * @param coldFor how long it stays cold
   */
  public void recordProbeSuccess(Duration coldFor, Instant now) {
    lastByteAt = now;
    reachability.recordProbeSuccess();
    warmUp.recordRemaining(coldFor, now);
  }

  /**
   * Records a failed probe.
   *
   * @param maxBackoff the maximum time until the next one
   */
  public void recordProbeFailure(Duration maxBackoff, Instant now) {
    reachability.recordProbeFailure(maxBackoff, now);
  }

  /**
   * Returns whether the endpoint has sent no byte since it was last unresponsive: connections
   * opened earlier may be dead, and it is unknown whether a request written to one of them runs.
   */
  public boolean isUnconfirmed() {
    return reachability.isSilent();
  }

  /** Records that another incarnation responds at the endpoint's address. */
  public void markReplaced() {
    replaced = true;
  }

  /** Records that the endpoint rejected a request because it is full. */
  public void markFull(Instant now) {
    fullUntil = now.plusMillis(Math.round(Math.min(500, Math.max(50, serviceTime.totalMillis()))));
    occupancy.rejectedAsFull(now);
  }

  private void recordFailure(double weight, Instant now) {
    scoreAtLastFailure = failureScore(now) + weight;
    lastFailureAt = now;
  }

  private double failureScore(Instant now) {
    if (scoreAtLastFailure == 0) {
      return 0;
    }
    double millis = Duration.between(lastFailureAt, now).toMillis();
    return scoreAtLastFailure * Math.pow(0.5, Math.min(100, millis / FAILURE_HALF_LIFE_MILLIS));
  }

  /**
   * Returns the failure score: the sum of the weights of all recorded failures, each of which
   * halves every {@link #FAILURE_HALF_LIFE_MILLIS}.
   */
  public double recentFailureScore(Instant now) {
    return failureScore(now);
  }

  /** Returns whether the endpoint is in service and not in a pause that it requested. */
  public boolean acceptsRequests(Instant now) {
    return isInService() && conditions.remainingPause(now).isZero();
  }

  /** Returns whether the endpoint accepts requests, apart from any pause that it requested. */
  private boolean isInService() {
    return isAnnounced() && !reachability.isUnreachable();
  }

  /**
   * Returns whether the endpoint is in service according to itself and the control instances,
   * whether or not this entry reaches it.
   */
  public boolean isAnnounced() {
    return record.state() == EndpointState.READY && !conditions.isDraining() && !replaced;
  }

  /**
   * Returns how many entries share the rate that the endpoint advertises.
   *
   * @param entry this entry's name
   * @param regionEntries the names of the region's entries, empty if not all are known yet
   * @return 0 if this entry is not one of them
   */
  private int rateSenderCount(String entry, List<String> regionEntries) {
    int senders = Math.min(rateLimit().maxSenders(), regionEntries.size());
    return isAmongFirst(entry, regionEntries, senders) ? senders : 0;
  }

  /** Returns whether an entry is among the first entries in the endpoint's rendezvous order. */
  boolean isAmongFirst(String entry, List<String> regionEntries, int count) {
    if (regionEntries.size() <= count) {
      return regionEntries.contains(entry);
    }
    return Rendezvous.rank(regionEntries, n -> n, record.id()).stream()
        .limit(count)
        .anyMatch(entry::equals);
  }

  /** Returns whether the advertised rate limit admits one more request of this entry now. */
  public boolean withinRate(String entry, List<String> regionEntries, Instant now) {
    return rateLimit().perSecond().isEmpty()
        || rateLimit().admits(rateSenderCount(entry, regionEntries), now);
  }

  /**
   * Returns how long until the advertised conditions admit one more request.
   *
   * @return empty if the endpoint accepts no requests for another reason
   */
  Optional<Duration> timeUntilAdmitted(String entry, List<String> regionEntries, Instant now) {
    if (!isInService()) {
      return Optional.empty();
    }
    Duration rateDelay = rateLimit().untilAdmitted(rateSenderCount(entry, regionEntries), now);
    Duration remainingPause = conditions.remainingPause(now);
    return Optional.of(rateDelay.compareTo(remainingPause) > 0 ? rateDelay : remainingPause);
  }

  /** Returns whether this entry may send one more request to the endpoint now while it is cold. */
  public boolean admitsColdRequest(Instant now) {
    return warmUp.admitsColdRequest(now);
  }

  /**
   * Returns whether other endpoints may fetch KV cache from this one. After a crash, lost
   * connections show the failure long before the record does. A prefix that cannot be fetched is
   * prefilled in full, which the wait estimates do not include: when one of four engines crashes,
   * three prompts of 13,000 to 29,000 tokens sent to a single other engine can require 68,000
   * tokens of prefill instead of an estimated 17,000, which delays the first bytes of the requests
   * behind them from 0.6 s to 2.5 s.
   */
  public boolean isPrefixSource(Instant now) {
    return acceptsRequests(now)
        && isResponding(now)
        && failureScore(now) < MAX_SOURCE_FAILURE_SCORE;
  }

  /** Returns whether the endpoint is neither unresponsive nor suspected of being unreachable. */
  public boolean isResponding(Instant now) {
    return !isUnresponsive(now) && !reachability.isSuspected();
  }

  /**
   * Returns whether the endpoint is unresponsive: it has an overdue response and has sent no byte
   * for too long.
   */
  public boolean isUnresponsive(Instant now) {
    Instant cutoff = now.minus(UNRESPONSIVE_TIMEOUT);
    return !openRequests.isEmpty()
        && openRequests.get(0).sentAt.isBefore(cutoff)
        && lastByteAt.isBefore(cutoff);
  }

  /**
   * Returns whether the endpoint recently rejected a request because it was full, or is full by its
   * reported load.
   */
  public boolean isFull(Instant now) {
    return fullUntil.isAfter(now) || occupancy.isFull(now);
  }

  /** Records the load that the endpoint reported in a response to this entry. */
  public void recordReportedLoad(ReportedLoad load) {
    occupancy.reportReceived(load);
  }

  /** Records the load that the endpoint reported in a response to another entry. */
  public void recordPeerReportedLoad(ReportedLoad load) {
    occupancy.reportReceivedByPeer(load);
  }

  /** Returns the last reported load if it is recent and was reported to this entry. */
  public Optional<ReportedLoad> recentOwnReport(Instant now) {
    return occupancy.recentOwnReport(now);
  }

  /** Returns how much room the endpoint has by its reported load. */
  public EndpointRoom room(Instant now) {
    return occupancy.room(now);
  }

  /** Returns whether the endpoint's load was reported recently. */
  boolean hasRecentReport(Instant now) {
    return occupancy.recentReport(now).isPresent();
  }

  /**
   * Returns the number of requests that the endpoint runs and queues: by its reported load, or the
   * number that the region's entries have in flight there if it has not reported recently.
   */
  int occupancy(Instant now) {
    return occupancy.occupancy(now).orElseGet(() -> totalInFlight(now));
  }

  /** Returns the number of requests that the endpoint runs concurrently. */
  int slots(Instant now) {
    return Math.max(1, occupancy.recentReport(now).map(ReportedLoad::slots).orElse(record.slots()));
  }

  boolean hasFreeSlot(Instant now) {
    return occupancy(now) < slots(now);
  }

  /** Returns how long a request occupies a slot at the endpoint's pace, in ms. */
  double slotMillis(Instant now) {
    return serviceTime.slotMillis(occupancy.pace(now));
  }

  /**
   * Returns how many requests per slot a request sent now would wait for. An engine that reports
   * its load admits the most urgent waiting request first, so that less urgent ones do not count:
   * with 12 slots of 1.3 s each, an urgent request waits for the next free slot, about 110 ms,
   * however many others are queued.
   */
  private double queuedPerSlot(int priority, Instant now) {
    int slots = slots(now);
    int occupied = occupancy(now);
    int ahead = occupied;
    if (hasRecentReport(now)) {
      int moreOrEquallyUrgent = occupied - prefillQueue.countLessUrgent(priority, now);
      ahead = Math.max(Math.min(occupied, slots), moreOrEquallyUrgent);
    }
    return (double) Math.max(0, ahead + 1 - slots) / slots;
  }

  /** Returns how many tokens of the prompt the endpoint would have to prefill or fetch. */
  public long uncachedTokens(PlacementRequest request) {
    return Math.max(0, request.promptTokens() - expectedPrefixes.cachedTokensOf(request.parts()));
  }

  /**
   * Records that the endpoint has prefilled some leading parts of a prompt, as shown by a response
   * to this entry or to another one.
   */
  public void recordPrefix(List<PromptPart> parts, long kvCapacityTokens) {
    expectedPrefixes.add(parts, kvCapacityTokens);
    confirmedPrefixes.add(parts, kvCapacityTokens);
  }

  /**
   * Returns how many leading tokens of the prompt the endpoint has prefilled, as shown by
   * responses, so that another endpoint can fetch them. Prompts that have been sent to it but may
   * not be prefilled yet do not count.
   */
  public long fetchableTokens(PlacementRequest request) {
    return confirmedPrefixes.cachedTokensOf(request.sharedParts());
  }

  /**
   * Returns how many prompt tokens of all priorities the endpoint has yet to prefill.
   *
   * @param tokensPerMilli its prefill speed
   */
  double pendingPrefillTokens(double tokensPerMilli, Instant now) {
    return prefillQueue.tokensAhead(PRIORITY_COUNT - 1, tokensPerMilli, now);
  }

  private double tokensAhead(int priority, Instant now) {
    return prefillQueue.tokensAhead(priority, prefillTokensPerMilli(priority, now), now);
  }

  /** Returns the number of requests in flight at the endpoint, of all entries of the region. */
  public int totalInFlight(Instant now) {
    return inFlight + occupancy.peersInFlight(now);
  }

  /** Returns the estimated time until a request of this priority starts to be processed, in ms. */
  public double waitMillis(int priority, Instant now) {
    double queued = queuedPerSlot(priority, now);
    double slotMillis = hasRecentReport(now) ? slotMillis(now) : serviceTime.totalMillis();
    return tokensAhead(priority, now) / prefillTokensPerMilli(priority, now) + slotMillis * queued;
  }

  /** Returns the estimated time per output token, in ms. */
  public double tokenMillis(Instant now) {
    return outputTokenTime.millisPerToken(occupancy.pace(now), now);
  }

  /** Returns the estimated time from sending a request to the first byte of its response, in ms. */
  public double firstByteMillis(PlacementRequest request, Instant now) {
    return waitMillis(request.priority(), now)
        + prefillMillis(request, uncachedTokens(request), now);
  }

  /** Returns the estimated time to prefill some tokens of a request, in ms. */
  public double prefillMillis(PlacementRequest request, long tokens, Instant now) {
    return tokens / prefillTokensPerMilli(request.priority(), now);
  }

  /**
   * Returns the prefill speed measured for a priority, at the endpoint's current pace, in prompt
   * tokens per millisecond.
   */
  public double prefillTokensPerMilli(int priority, Instant now) {
    int clamped = clampPriority(priority);
    return prefillTokensPerMilli[clamped] / prefillPaces[clamped].factor(occupancy.pace(now));
  }

  /**
   * Returns the prefill speed measured for a priority, at the average pace of the measurements, in
   * prompt tokens per millisecond.
   */
  double averagePrefillTokensPerMilli(int priority) {
    return prefillTokensPerMilli[clampPriority(priority)];
  }

  /**
   * Returns the highest prefill speed measured for any priority, in prompt tokens per millisecond.
   * Short prompts yield lower speeds, because they include the time on the network.
   */
  double fastestPrefillTokensPerMilli() {
    return Arrays.stream(prefillTokensPerMilli).max().orElseThrow();
  }

  private static int clampPriority(int priority) {
    return Math.max(0, Math.min(PRIORITY_COUNT - 1, priority));
  }
}
