package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingcroft.fleet.EndpointRecord;
import org.lacewingcroft.fleet.EndpointState;
import org.lacewingcroft.fleet.FleetMessage;
import org.lacewingcroft.limit.EndpointRateLimit;
import org.lacewingcroft.misc.Rendezvous;

/**
 * What one entry knows of one endpoint beyond its record: the work it has in flight there, what the
 * region's other entries told of theirs, how fast and how reliably it answers, and which prefixes
 * it holds. {@link Placer} decides by it.
 *
 * <p>Not thread-safe: owned by the entry's event loop.
 */
public final class EndpointTracker {
  /** Priorities told apart; the platform of the model engines knows ten. */
  public static final int PRIORITIES = 10;

  /** Prompt tokens read in a millisecond, until measured: a large model on a recent accelerator. */
  private static final double INITIAL_TOKENS_PER_MILLI = 80;

  /** Bounds of a believable measurement of the same. */
  private static final double MIN_TOKENS_PER_MILLI = 4;

  private static final double MAX_TOKENS_PER_MILLI = 120;

  /** Prompts shorter than this say more about the network than about the engine's speed. */
  private static final long MEASURABLE_TOKENS = 1_500;

  /** Time a request takes at a plain service, until measured. */
  private static final double INITIAL_SERVICE_MILLIS = 30;

  /** Weight of a new sample in the running averages: about the last ten count. */
  private static final double SAMPLE_WEIGHT = 0.1;

  /**
   * Silence of an endpoint that owes an answer after which new work avoids it: engines yield a byte
   * of some stream many times a second, and callers give up after two seconds.
   */
  private static final Duration SUSPICIOUS_SILENCE = Duration.ofMillis(800);

  /** How long an endpoint that refused a connection is left alone at first, doubling up to 2 s. */
  private static final long REFUSED_PAUSE_MILLIS = 250;

  private static final long MAX_REFUSED_PAUSE_MILLIS = 2_000;

  /** Least pause between two requests of one entry to a cold endpoint: its bound is a second. */
  private static final Duration COLD_PAUSE = Duration.ofMillis(1_100);

  /** Time in which a remembered failure counts half. */
  private static final double FAILURE_HALF_LIFE_MILLIS = 2_000;

  /** Recent failures below which an endpoint is taken to yield what it holds. */
  private static final double MOST_FAILURES_OF_SOURCE = 0.5;

  private EndpointRecord record;
  private Instant coldUntil;
  private boolean wrongInstance;
  private int running;
  private final ReadingQueue reading = new ReadingQueue();
  private final Map<String, PeerWork> peers = new HashMap<>();
  private final List<InFlightRequest> open = new ArrayList<>();
  private final PrefixMemory prefixes = new PrefixMemory();
  private final PrefixMemory readPrefixes = new PrefixMemory();
  private final TokenPace pace = new TokenPace();
  private final AdvertisedConditions conditions;

  /**
   * Reading speed by priority. It is measured apart, because more urgent requests that arrive later
   * are read first: what is left for the less urgent shrinks with the load, and a wait foretold
   * from the engine's full speed would be too short by far.
   */
  private final double[] tokensPerMilli = new double[PRIORITIES];

  private double serviceMillis = INITIAL_SERVICE_MILLIS;
  private double failureScore;
  private Instant failureAt = Instant.EPOCH;
  private Instant lastByteAt = Instant.EPOCH;
  private Instant refusedUntil = Instant.EPOCH;
  private int refusals;
  private Instant coldSentAt = Instant.EPOCH;
  private Instant busyUntil = Instant.EPOCH;
  private Instant silentUntil = Instant.EPOCH;
  private int silences;

  private record PeerWork(int running, Instant at) {}

  /** One request in flight at the endpoint. */
  public final class InFlightRequest {
    private final ReadingQueue.Unread prompt;
    private final double aheadTokens;
    private final Instant sentAt;
    private Optional<Instant> lastEventAt = Optional.empty();
    private boolean begun;
    private boolean ended;

    private InFlightRequest(ReadingQueue.Unread prompt, double aheadTokens) {
      this.prompt = prompt;
      this.aheadTokens = aheadTokens;
      this.sentAt = prompt.sentAt();
    }

    /** Returns when the request was sent. */
    public Instant sentAt() {
      return sentAt;
    }

    /** Returns how many tokens of its prompt the endpoint had to read when it was sent. */
    public long prefillTokens() {
      return prompt.tokens();
    }

    /** Notes bytes of the answer; the first ones end the reading of the prompt. */
    public void bytesReceived(Instant now) {
      lastByteAt = now;
      silences = 0;
      silentUntil = Instant.EPOCH;
      if (!begun) {
        begun = true;
        reading.read(prompt, now);
        measureSpeed(now);
      }
    }

    /**
     * Notes events of the answer.
     *
     * @param newTokens the tokens in them
     */
    public void eventsReceived(long newTokens, Instant now) {
      lastEventAt.ifPresent(at -> pace.sample(Duration.between(at, now), newTokens, now));
      lastEventAt = Optional.of(now);
    }

    private void measureSpeed(Instant now) {
      double tokens = aheadTokens + prompt.tokens();
      long millis = Duration.between(sentAt, now).toMillis();
      if (tokens >= MEASURABLE_TOKENS && millis > 0) {
        double sample = tokens / millis;
        double bounded = Math.max(MIN_TOKENS_PER_MILLI, Math.min(MAX_TOKENS_PER_MILLI, sample));
        int p = prompt.priority();
        tokensPerMilli[p] += SAMPLE_WEIGHT * (bounded - tokensPerMilli[p]);
      }
    }

    /** Ends the request. */
    public void finish(Outcome outcome, Instant now) {
      if (ended) {
        return;
      }
      ended = true;
      final boolean silent = owesAnswers(now);
      open.remove(this);
      running--;
      if (!begun) {
        reading.drop(prompt);
      }
      if (outcome == Outcome.ANSWERED) {
        double millis = Duration.between(sentAt, now).toMillis();
        serviceMillis += SAMPLE_WEIGHT * (millis - serviceMillis);
        refusals = 0;
      } else if (outcome == Outcome.FAILED) {
        failed(1, now);
      }
      if (silent && (outcome == Outcome.FAILED || outcome == Outcome.CANCELLED)) {
        fellSilent(now);
      }
    }
  }

  /** How a request ended at an endpoint. */
  public enum Outcome {
    /** It answered, whatever the status, in full. */
    ANSWERED,
    /** It answered with a server error, broke off or said nothing. */
    FAILED,
    /** It refused the request without running it. */
    NOT_RUN,
    /** The caller left, or this instance gave up. */
    CANCELLED
  }

  /** Starts tracking an endpoint. */
  public EndpointTracker(EndpointRecord record, Instant now) {
    this(record, new AdvertisedConditions(), now);
  }

  /** Starts tracking an endpoint that may have stated conditions before. */
  EndpointTracker(EndpointRecord record, AdvertisedConditions conditions, Instant now) {
    this.conditions = conditions;
    Arrays.fill(tokensPerMilli, INITIAL_TOKENS_PER_MILLI);
    update(record, now);
  }

  /** Takes a newer record of the same endpoint. */
  public void update(EndpointRecord newer, Instant now) {
    record = newer;
    wrongInstance = false;
    Instant cold = now.plusMillis(newer.coldMillis());
    coldUntil = coldUntil == null || cold.isAfter(coldUntil) ? cold : coldUntil;
  }

  /** Treats the endpoint as cold until an instant. */
  public void extendColdUntil(Instant until) {
    coldUntil = until.isAfter(coldUntil) ? until : coldUntil;
  }

  /** Returns the endpoint's newest record. */
  public EndpointRecord record() {
    return record;
  }

  /** Returns on which conditions the endpoint takes requests. */
  public AdvertisedConditions conditions() {
    return conditions;
  }

  /** Returns the rate that the endpoint takes from all entries together. */
  public EndpointRateLimit rateLimit() {
    return conditions.rateLimit();
  }

  /** Returns whether the endpoint is still warming up. */
  public boolean isCold(Instant now) {
    return coldUntil.isAfter(now);
  }

  /** Returns when this entry last had a byte of an answer, or began to send while idle. */
  public Instant lastByteAt() {
    return lastByteAt;
  }

  /** Returns the requests of this entry in flight there. */
  public int inFlight() {
    return running;
  }

  /** Returns this entry's prompts that the endpoint has not read yet. */
  public List<FleetMessage.UnreadPrompt> pendingPrompts(Instant now) {
    return reading.own().stream()
        .map(
            p ->
                new FleetMessage.UnreadPrompt(
                    p.priority(), p.tokens(), Duration.between(p.sentAt(), now).toMillis()))
        .toList();
  }

  /** Takes another entry's report of its work there. */
  public void updatePeerLoad(
      String entry, int peerRunning, List<FleetMessage.UnreadPrompt> prompts, Instant now) {
    if (peerRunning == 0) {
      peers.remove(entry);
    } else {
      peers.put(entry, new PeerWork(peerRunning, now));
    }
    reading.heard(
        entry,
        prompts.stream()
            .map(
                p ->
                    new ReadingQueue.Unread(
                        p.priority(), p.tokens(), now.minusMillis(p.ageMillis())))
            .toList(),
        now);
  }

  /**
   * Begins a request there.
   *
   * @param fetchedTokens the tokens of its prompt that the endpoint fetches instead of reading them
   */
  public InFlightRequest startRequest(
      PlacementRequest request, long fetchedTokens, long kvCapacityTokens, Instant now) {
    int priority = bounded(request.priority());
    double ahead = tokensAhead(priority, now);
    long unread = Math.max(0, uncachedTokens(request) - fetchedTokens);
    InFlightRequest ticket =
        new InFlightRequest(new ReadingQueue.Unread(priority, unread, now), ahead);
    if (running == 0) {
      lastByteAt = now;
    }
    running++;
    open.add(ticket);
    reading.add(ticket.prompt);
    if (!request.parts().isEmpty()) {
      prefixes.read(request.parts(), kvCapacityTokens);
    }
    if (isCold(now)) {
      coldSentAt = now;
    }
    rateLimit().recordSend(now);
    return ticket;
  }

  /** Notes that a connection could not be had. */
  public void recordConnectFailure(Instant now) {
    refusals++;
    refusedUntil = now.plusMillis(pauseMillis(refusals));
  }

  /**
   * Notes that a request ended while the endpoint owed answers and said nothing. Without this the
   * endpoint would look idle once the last such request has ended, and get all the work again.
   */
  private void fellSilent(Instant now) {
    silences++;
    silentUntil = now.plusMillis(pauseMillis(silences));
  }

  private static long pauseMillis(int times) {
    long pause = REFUSED_PAUSE_MILLIS << Math.min(8, times - 1);
    return Math.min(MAX_REFUSED_PAUSE_MILLIS, pause);
  }

  /**
   * Returns whether the endpoint has not answered since it fell silent: connections to it from
   * before may lead nowhere, and what is written to them may or may not run.
   */
  public boolean isUnconfirmed() {
    return silences > 0;
  }

  /** Notes that another incarnation answers at the address. */
  public void markReplaced() {
    wrongInstance = true;
  }

  /** Notes that the endpoint refused a request because it is full. */
  public void markFull(Instant now) {
    busyUntil = now.plusMillis(Math.round(Math.min(500, Math.max(50, serviceMillis))));
  }

  private void failed(double weight, Instant now) {
    failureScore = failureScore(now) + weight;
    failureAt = now;
  }

  private double failureScore(Instant now) {
    if (failureScore == 0) {
      return 0;
    }
    double millis = Duration.between(failureAt, now).toMillis();
    return failureScore * Math.pow(0.5, Math.min(100, millis / FAILURE_HALF_LIFE_MILLIS));
  }

  /** Returns the recent failures, each counting less the older it is. */
  public double recentFailures(Instant now) {
    return failureScore(now);
  }

  /** Returns whether the endpoint may get new work at all. */
  public boolean acceptsRequests(Instant now) {
    return inService(now) && conditions.remainingPause(now).isZero();
  }

  /** Returns whether the endpoint takes work but for a pause that it asked for. */
  private boolean inService(Instant now) {
    return record.state() == EndpointState.READY
        && !conditions.isDraining()
        && !wrongInstance
        && !refusedUntil.isAfter(now);
  }

  /**
   * Returns how many entries share the rate that the endpoint states.
   *
   * @param entry this entry's name
   * @param regionEntries the names of the region's entries
   * @return 0 if this entry is none of them
   */
  private int rateSenders(String entry, List<String> regionEntries) {
    int senders = Math.min(rateLimit().maxSenders(), regionEntries.size());
    return isAmongFirst(entry, regionEntries, senders) ? senders : 0;
  }

  /** Returns whether an entry is one of the first in the order in which they use the endpoint. */
  boolean isAmongFirst(String entry, List<String> regionEntries, int count) {
    return regionEntries.size() <= count
        || Rendezvous.rank(regionEntries, n -> n, record.id()).stream()
            .limit(count)
            .anyMatch(entry::equals);
  }

  /** Returns whether the rate that the endpoint states bears one more request of this entry now. */
  public boolean withinRate(String entry, List<String> regionEntries, Instant now) {
    return rateLimit().perSecond().isEmpty()
        || rateLimit().admits(rateSenders(entry, regionEntries), now);
  }

  /**
   * Returns how long until the conditions that the endpoint states bear one more request.
   *
   * @return empty if it is out of service for another reason
   */
  Optional<Duration> untilConditionsHold(String entry, List<String> regionEntries, Instant now) {
    if (!inService(now)) {
      return Optional.empty();
    }
    Duration rate = rateLimit().untilAdmitted(rateSenders(entry, regionEntries), now);
    Duration pause = conditions.remainingPause(now);
    return Optional.of(rate.compareTo(pause) > 0 ? rate : pause);
  }

  /** Returns whether a cold endpoint bears one more request of this entry now. */
  public boolean coldPauseOver(Instant now) {
    return !coldSentAt.plus(COLD_PAUSE).isAfter(now);
  }

  /**
   * Returns whether another endpoint may be told to fetch KV cache from it. An endpoint that has
   * just crashed is known by its broken answers long before its record says so; what it was to
   * yield is read in full instead, unforeseen: after the crash of one of four engines three prompts
   * of 13,000 to 29,000 tokens went to one other, 68,000 tokens to read where 17,000 were expected,
   * and the questions behind them had their first bytes after 2.5 s instead of 0.6 s.
   */
  public boolean isPrefixSource(Instant now) {
    return acceptsRequests(now) && !isSuspect(now) && failureScore(now) < MOST_FAILURES_OF_SOURCE;
  }

  /** Returns whether the endpoint owes answers and is or was a moment ago silent for too long. */
  public boolean isSuspect(Instant now) {
    return owesAnswers(now) || silentUntil.isAfter(now);
  }

  /** Returns whether the endpoint owes answers and has been silent for too long. */
  public boolean owesAnswers(Instant now) {
    Instant limit = now.minus(SUSPICIOUS_SILENCE);
    return !open.isEmpty() && open.get(0).sentAt.isBefore(limit) && lastByteAt.isBefore(limit);
  }

  /** Returns whether the endpoint said a moment ago that it is full. */
  public boolean saidFull(Instant now) {
    return busyUntil.isAfter(now);
  }

  /** Returns how many tokens of the prompt it would have to read. */
  public long uncachedTokens(PlacementRequest request) {
    return Math.max(0, request.promptTokens() - prefixes.heldTokensOf(request.parts()));
  }

  /**
   * Notes that the endpoint has read some leading parts of a prompt, as an answer showed here or at
   * another entry.
   */
  public void recordPrefix(List<PromptPart> parts, long kvCapacityTokens) {
    prefixes.read(parts, kvCapacityTokens);
    readPrefixes.read(parts, kvCapacityTokens);
  }

  /**
   * Returns how many leading tokens of the prompt it has read for certain, so that another endpoint
   * can fetch them: what it was sent a moment ago and may still be reading does not count.
   */
  public long fetchableTokens(PlacementRequest request) {
    return readPrefixes.heldTokensOf(request.sharedParts());
  }

  private double tokensAhead(int priority, Instant now) {
    return reading.tokensAhead(priority, prefillTokensPerMilli(priority), now);
  }

  /** Returns all entries' requests in flight there. */
  public int allRunning(Instant now) {
    int all = running;
    for (PeerWork peer : peers.values()) {
      if (peer.at.plus(ReadingQueue.PEER_REPORT_VALID).isAfter(now)) {
        all += peer.running;
      }
    }
    return all;
  }

  /** Returns the time until a request of this priority would begin to be worked on, in ms. */
  public double waitMillis(int priority, Instant now) {
    int slots = Math.max(1, record.slots());
    int over = allRunning(now) + 1 - slots;
    double slotWait = over > 0 ? serviceMillis * over / slots : 0;
    return tokensAhead(priority, now) / prefillTokensPerMilli(priority) + slotWait;
  }

  /** Returns how long each token of an answer takes there, in ms. */
  public double tokenMillis(Instant now) {
    return pace.millisPerToken(now);
  }

  /** Returns the time from sending a request to the first byte of its answer, in ms. */
  public double firstByteMillis(PlacementRequest request, Instant now) {
    return waitMillis(request.priority(), now) + readMillis(request, uncachedTokens(request));
  }

  /** Returns the time to read some tokens of a request, in ms. */
  public double readMillis(PlacementRequest request, long tokens) {
    return tokens / prefillTokensPerMilli(request.priority());
  }

  /** Returns the reading speed measured for a priority, in prompt tokens a millisecond. */
  public double prefillTokensPerMilli(int priority) {
    return tokensPerMilli[bounded(priority)];
  }

  private static int bounded(int priority) {
    return Math.max(0, Math.min(PRIORITIES - 1, priority));
  }
}
