package org.lacewingcroft.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Generates reproducible traces of a typical workload: long history reviews, which share a long
 * prompt prefix per case, and short questions, which share a short one. Arrivals form a Poisson
 * process, regions differ in load, and a share of the requests must be served in the region of the
 * caller.
 */
public final class WorkloadTrace {
  /** The minimum prompt length of a review, in characters. */
  public static final int REVIEW_CHARS = 4_000;

  private static final int CASES_PER_REGION = 24;
  private static final double REVIEW_SHARE = 0.35;
  private static final double HOME_RESIDENCY_SHARE = 0.29;
  private static final int REVIEW_TOKENS = 42;
  private static final int QUESTION_TOKENS = 6;
  private static final int QUESTION_CHARS = 600;

  private WorkloadTrace() {}

  /**
   * Generates a trace.
   *
   * @param regions the regions of the callers; the first one has twice the load of each other one
   * @param seconds the length of the trace
   * @param requestsPerSecond the mean rate over all regions
   * @param seed the seed of the random generator
   */
  public static List<TraceRequest> generate(
      List<String> regions, int seconds, double requestsPerSecond, long seed) {
    Random random = new Random(seed);
    List<TraceRequest> trace = new ArrayList<>();
    double atMillis = 0;
    while (atMillis < seconds * 1000.0) {
      atMillis += -Math.log(1 - random.nextDouble()) * 1000 / requestsPerSecond;
      int regionIndex = random.nextInt(regions.size() + 1);
      String region = regions.get(regionIndex == regions.size() ? 0 : regionIndex);
      trace.add(request((long) atMillis, region, random));
    }
    return trace;
  }

  private static TraceRequest request(long atMillis, String region, Random random) {
    boolean review = random.nextDouble() < REVIEW_SHARE;
    int id = (int) Math.floor(Math.pow(random.nextDouble(), 2) * CASES_PER_REGION);
    String topic =
        (review ? "History of case " : "Question on site ") + id + " in " + region + ". ";
    int chars = review ? REVIEW_CHARS : QUESTION_CHARS;
    String prompt = topic.repeat(chars / topic.length() + 1) + random.nextInt();
    boolean homeOnly = random.nextDouble() < HOME_RESIDENCY_SHARE;
    return new TraceRequest(
        atMillis,
        region,
        homeOnly ? "kunta-" + region : "puhdas-seina",
        "writer",
        prompt,
        review ? REVIEW_TOKENS : QUESTION_TOKENS,
        true,
        homeOnly ? Optional.of(region) : Optional.empty(),
        Optional.empty());
  }
}
