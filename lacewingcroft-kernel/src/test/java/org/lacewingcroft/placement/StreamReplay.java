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
  private static final double TOKENS_PER_MILLI = 56;
  private static final double STEP_MILLIS = 6.45;
  private static final double STEP_MILLIS_PER_STREAM = 0.1;
  private static final int EVENT_TOKENS = 4;
  private static final long PROMPT_TOKENS = 300;
  private static final int SUBJECTS = 50;
  private static final Duration OBJECTIVE = Duration.ofSeconds(2);
  private static final Duration DEADLINE = Duration.ofSeconds(5);

  /**
   * Standard deviation of the logarithm of the ratio between the callers' length hints and the
   * actual lengths.
   */
  private static final double HINT_ERROR = 0.5;

  private final Random random;
  private final Placer placer;
  private final Set<PlacementMechanism> switchedOff;
  private final Instant start = Instant.parse("2030-01-01T00:00:00Z");
  private final List<Engine> engines = new ArrayList<>();
  private long lengthMillis;
  private int asked;
  private int ended;

  private static final class Stream {
    private final EndpointTracker.InFlightRequest ticket;
    private final Instant deadline;
    private final int tokens;
    private final boolean counts;
    private double promptLeft = PROMPT_TOKENS;
    private int made;

    private Stream(
        EndpointTracker.InFlightRequest ticket, Instant deadline, int tokens, boolean counts) {
      this.ticket = ticket;
      this.deadline = deadline;
      this.tokens = tokens;
      this.counts = counts;
    }
  }

  private static final class Engine {
    private final EndpointTracker tracker;
    private final double foreignTokensPerMilli;
    private final Deque<Stream> unread = new ArrayDeque<>();
    private final List<Stream> streams = new ArrayList<>();
    private double foreignLeft;
    private double nextStepMillis;

    private Engine(EndpointTracker tracker, double foreignTokensPerMilli) {
      this.tracker = tracker;
      this.foreignTokensPerMilli = foreignTokensPerMilli;
    }
  }

  /**
   * Creates a replay.
   *
   * @param foreignTokensPerMilli for each engine the prompt tokens a millisecond that other callers
   *     send
   */
  StreamReplay(List<Double> foreignTokensPerMilli, Set<PlacementMechanism> switchedOff, long seed) {
    this.switchedOff = switchedOff;
    random = new Random(seed);
    placer = new Placer(3, new Random(seed + 1));
    for (double foreign : foreignTokensPerMilli) {
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
      engines.add(new Engine(new EndpointTracker(record, start), foreign));
    }
  }

  /**
   * Runs requests that arrive at random and returns the share of their responses that end in time.
   */
  double run(double perSecond, double meanTokens, Duration length) {
    lengthMillis = length.toMillis();
    for (long ms = 0; ms < lengthMillis; ms++) {
      if (random.nextDouble() < perSecond / 1_000) {
        arrive(Math.max(EVENT_TOKENS, (int) (-meanTokens * Math.log(random.nextDouble()))), ms);
      }
      for (Engine engine : engines) {
        engine.foreignLeft += engine.foreignTokensPerMilli;
        if (ms >= engine.nextStepMillis) {
          step(engine, ms);
        }
      }
    }
    return (double) ended / asked;
  }

  private void arrive(int tokens, long ms) {
    final Instant now = start.plusMillis(ms);
    final boolean counts = ms < lengthMillis - DEADLINE.toMillis();
    asked += counts ? 1 : 0;
    long hint = Math.round(tokens * Math.exp(HINT_ERROR * random.nextGaussian()));
    PlacementRequest request =
        new PlacementRequest(
            "engine", 0, PROMPT_TOKENS, hint, parts(), OBJECTIVE, DEADLINE, Set.of());
    Placer.Context around =
        new Placer.Context(
            engines.stream().map(e -> e.tracker).toList(),
            "entry",
            List.of("entry"),
            200,
            Optional.empty(),
            Set.of(),
            Set.of(),
            "here",
            List.of(),
            Optional.empty(),
            switchedOff);
    if (placer.place(request, around, now) instanceof Placement.ToEndpoint here) {
      Engine engine =
          engines.stream().filter(e -> e.tracker == here.endpoint()).findFirst().orElseThrow();
      EndpointTracker.InFlightRequest ticket =
          engine.tracker.startRequest(request, 0, 345_000, now);
      engine.unread.add(new Stream(ticket, now.plus(DEADLINE), tokens, counts));
    }
  }

  /**
   * Returns the parts of a prompt, which starts with one of a few short shared prefixes; engines
   * are ranked by these.
   */
  private List<PromptPart> parts() {
    return List.of(
        new PromptPart("shared" + random.nextInt(SUBJECTS), PROMPT_TOKENS / 3),
        new PromptPart("own" + random.nextLong(), PROMPT_TOKENS - PROMPT_TOKENS / 3));
  }

  /** Runs one step: prefills a chunk of prompts, then produces one token for each stream. */
  private void step(Engine engine, long ms) {
    final Instant now = start.plusMillis(ms);
    double room = CHUNK_TOKENS;
    double foreign = Math.min(room, engine.foreignLeft);
    engine.foreignLeft -= foreign;
    room -= foreign;
    while (room > 0 && !engine.unread.isEmpty()) {
      Stream next = engine.unread.peek();
      double read = Math.min(room, next.promptLeft);
      next.promptLeft -= read;
      room -= read;
      if (next.promptLeft <= 0) {
        engine.streams.add(engine.unread.remove());
      }
    }
    engine.nextStepMillis =
        ms
            + STEP_MILLIS
            + STEP_MILLIS_PER_STREAM * engine.streams.size()
            + (CHUNK_TOKENS - room) / TOKENS_PER_MILLI;
    engine.streams.removeIf(s -> feed(s, now));
  }

  private boolean feed(Stream stream, Instant now) {
    stream.made++;
    boolean over = stream.made >= stream.tokens;
    boolean late = now.isAfter(stream.deadline);
    if (stream.made % EVENT_TOKENS == 0 || over) {
      stream.ticket.bytesReceived(now);
      stream.ticket.eventsReceived(EVENT_TOKENS, now);
    }
    if (over || late) {
      ended += late || !stream.counts ? 0 : 1;
      stream.ticket.finish(
          late ? EndpointTracker.Outcome.CANCELLED : EndpointTracker.Outcome.ANSWERED, now);
    }
    return over || late;
  }
}
