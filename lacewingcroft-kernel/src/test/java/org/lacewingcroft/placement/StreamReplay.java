package org.lacewingcroft.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.lacewingcroft.fleet.EndpointRecord;
import org.lacewingcroft.fleet.EndpointState;

/**
 * Replays streams through {@link Placer} against simulated engines that prefill prompts in chunks
 * between the steps of their streams: each step produces one token for every stream, and takes much
 * longer with a chunk than without. Some engines also prefill long prompts of other callers, as at
 * a neighbouring region's peak. Time is simulated; equal seeds give equal results.
 */
final class StreamReplay {
  private static final double CHUNK_TOKENS = 4_096;
  private static final double PREFILL_TOKENS_PER_MILLI = 56;
  private static final double STEP_MILLIS = 6.45;
  private static final double STEP_MILLIS_PER_STREAM = 0.1;
  private static final int EVENT_TOKENS = 4;
  private static final long PROMPT_TOKENS = 300;
  private static final int SHARED_PREFIXES = 50;
  private static final Duration OBJECTIVE = Duration.ofSeconds(2);
  private static final Duration DEADLINE = Duration.ofSeconds(5);

  /**
   * Standard deviation of the logarithm of the ratio between the callers' length hints and the
   * actual lengths.
   */
  private static final double HINT_LOG_DEVIATION = 0.5;

  private final Random random;
  private final Placer placer;
  private final Set<PlacementMechanism> disabledMechanisms;
  private final Instant start = Instant.parse("2030-01-01T00:00:00Z");
  private final List<Engine> engines = new ArrayList<>();
  private long durationMillis;
  private int countedRequests;
  private int countedOnTime;

  private static final class Stream {
    private final EndpointTracker.InFlightRequest inFlightRequest;
    private final Instant deadline;
    private final int outputTokens;

    /** Whether the deadline lies within the replay; only such requests count in the result. */
    private final boolean counted;

    private double remainingPromptTokens = PROMPT_TOKENS;
    private int producedTokens;

    private Stream(
        EndpointTracker.InFlightRequest inFlightRequest,
        Instant deadline,
        int outputTokens,
        boolean counted) {
      this.inFlightRequest = inFlightRequest;
      this.deadline = deadline;
      this.outputTokens = outputTokens;
      this.counted = counted;
    }
  }

  private static final class Engine {
    private final EndpointTracker tracker;
    private final double backgroundTokensPerMilli;
    private final Deque<Stream> pendingPrompts = new ArrayDeque<>();
    private final List<Stream> streams = new ArrayList<>();
    private double remainingBackgroundTokens;
    private double nextStepMillis;

    private Engine(EndpointTracker tracker, double backgroundTokensPerMilli) {
      this.tracker = tracker;
      this.backgroundTokensPerMilli = backgroundTokensPerMilli;
    }
  }

  /**
   * Creates a replay.
   *
   * @param backgroundTokensPerMilli the prompt tokens per millisecond that other callers send to
   *     each engine
   */
  StreamReplay(
      List<Double> backgroundTokensPerMilli,
      Set<PlacementMechanism> disabledMechanisms,
      long seed) {
    this.disabledMechanisms = disabledMechanisms;
    random = new Random(seed);
    placer = new Placer(3, new Random(seed + 1));
    for (double backgroundRate : backgroundTokensPerMilli) {
      EndpointRecord record =
          new EndpointRecord(
              "engine-" + engines.size(),
              0,
              "engine",
              "10.0.0.1:1",
              "a",
              128,
              EndpointState.READY,
              1,
              0);
      engines.add(new Engine(new EndpointTracker(record, start), backgroundRate));
    }
  }

  /**
   * Runs requests that arrive at random and returns the share of their responses that complete
   * before the deadline.
   */
  double run(double requestsPerSecond, double meanOutputTokens, Duration duration) {
    durationMillis = duration.toMillis();
    for (long ms = 0; ms < durationMillis; ms++) {
      if (random.nextDouble() < requestsPerSecond / 1_000) {
        arrive(
            Math.max(EVENT_TOKENS, (int) (-meanOutputTokens * Math.log(random.nextDouble()))), ms);
      }
      for (Engine engine : engines) {
        engine.remainingBackgroundTokens += engine.backgroundTokensPerMilli;
        if (ms >= engine.nextStepMillis) {
          step(engine, ms);
        }
      }
    }
    return (double) countedOnTime / countedRequests;
  }

  private void arrive(int outputTokens, long ms) {
    final Instant now = start.plusMillis(ms);
    final boolean counted = ms < durationMillis - DEADLINE.toMillis();
    countedRequests += counted ? 1 : 0;
    long lengthHint =
        Math.round(outputTokens * Math.exp(HINT_LOG_DEVIATION * random.nextGaussian()));
    PlacementRequest request =
        new PlacementRequest(
            "engine", 0, PROMPT_TOKENS, lengthHint, parts(), OBJECTIVE, DEADLINE, Set.of());
    Placer.Context context =
        new Placer.Context(
            engines.stream().map(e -> e.tracker).toList(),
            "entry",
            List.of("entry"),
            200,
            Optional.empty(),
            Set.of(),
            Set.of(),
            /* relayed= */ false,
            /* hasNeighbour= */ () -> false,
            "here",
            List.of(),
            Optional.empty(),
            disabledMechanisms,
            Optional.empty());
    if (placer.place(request, context, now) instanceof Placement.ToEndpoint toEndpoint) {
      Engine engine =
          engines.stream()
              .filter(e -> e.tracker == toEndpoint.endpoint())
              .findFirst()
              .orElseThrow();
      EndpointTracker.InFlightRequest inFlightRequest =
          engine.tracker.startRequest(request, 0, 345_000, now);
      engine.pendingPrompts.add(
          new Stream(inFlightRequest, now.plus(DEADLINE), outputTokens, counted));
    }
  }

  /**
   * Returns the parts of a prompt, which starts with one of a few short shared prefixes; engines
   * are ranked by these.
   */
  private List<PromptPart> parts() {
    return List.of(
        new PromptPart("shared" + random.nextInt(SHARED_PREFIXES), PROMPT_TOKENS / 3),
        new PromptPart("own" + random.nextLong(), PROMPT_TOKENS - PROMPT_TOKENS / 3));
  }

  /** Runs one step: prefills a chunk of prompts, then produces one token for each stream. */
  private void step(Engine engine, long ms) {
    final Instant now = start.plusMillis(ms);
    double remainingChunkTokens = CHUNK_TOKENS;
    double backgroundTokens = Math.min(remainingChunkTokens, engine.remainingBackgroundTokens);
    engine.remainingBackgroundTokens -= backgroundTokens;
    remainingChunkTokens -= backgroundTokens;
    while (remainingChunkTokens > 0 && !engine.pendingPrompts.isEmpty()) {
      Stream next = engine.pendingPrompts.peek();
      double prefilledTokens = Math.min(remainingChunkTokens, next.remainingPromptTokens);
      next.remainingPromptTokens -= prefilledTokens;
      remainingChunkTokens -= prefilledTokens;
      if (next.remainingPromptTokens <= 0) {
        engine.streams.add(engine.pendingPrompts.remove());
      }
    }
    engine.nextStepMillis =
        ms
            + STEP_MILLIS
            + STEP_MILLIS_PER_STREAM * engine.streams.size()
            + (CHUNK_TOKENS - remainingChunkTokens) / PREFILL_TOKENS_PER_MILLI;
    engine.streams.removeIf(s -> produceToken(s, now));
  }

  private boolean produceToken(Stream stream, Instant now) {
    stream.producedTokens++;
    boolean finished = stream.producedTokens >= stream.outputTokens;
    boolean late = now.isAfter(stream.deadline);
    if (stream.producedTokens % EVENT_TOKENS == 0 || finished) {
      stream.inFlightRequest.bytesReceived(now);
      stream.inFlightRequest.eventsReceived(EVENT_TOKENS, now);
    }
    if (finished || late) {
      countedOnTime += late || !stream.counted ? 0 : 1;
      stream.inFlightRequest.finish(
          late ? EndpointTracker.Outcome.CANCELLED : EndpointTracker.Outcome.ANSWERED, now);
    }
    return finished || late;
  }
}
