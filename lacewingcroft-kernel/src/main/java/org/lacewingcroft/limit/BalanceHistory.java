package org.lacewingcroft.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * The balance of a quota and what was charged to it during the last seconds. Entries are found to
 * be silent only after a timeout, during which the balance was used as if they had continued. With
 * the history, it is divided with them as of their last report.
 *
 * <p>Not thread-safe.
 */
final class BalanceHistory {
  /** Longer than any timeout of reports, plus the delay with which they arrive. */
  private static final Duration RETENTION = Duration.ofSeconds(3);

  private static final Duration MIN_INTERVAL = Duration.ofMillis(40);

  private final Deque<Sample> samples = new ArrayDeque<>();

  /** The balance at a time, and the total charged to it until then. */
  private record Sample(Instant at, double balance, double charged) {}

  /** What the entries that are heard may use after a division, in units and units per second. */
  record Share(double ratio, double perSecond, double capacity) {}

  /** Records the balance; times that follow each other closely share a sample. */
  void record(double balance, double charged, Instant now) {
    if (!samples.isEmpty() && samples.getLast().at().plus(MIN_INTERVAL).isAfter(now)) {
      return;
    }
    samples.add(new Sample(now, balance, charged));
    Instant oldest = now.minus(RETENTION);
    while (samples.getFirst().at().isBefore(oldest)) {
      samples.remove();
    }
  }

  /** Applies a charge by a report to the last sample, since the usage precedes the report. */
  void amend(double balance, double charged) {
    if (!samples.isEmpty()) {
      samples.add(new Sample(samples.removeLast().at(), balance, charged));
    }
  }

  /**
   * Replays the history as if the share had applied since the given time, and replaces it with the
   * result, from which a later division continues.
   *
   * @return the present balance that results, not more than {@code balance}
   */
  double divide(Share share, Instant since, double balance, double charged, Instant now) {
    Deque<Sample> before = new ArrayDeque<>(samples);
    before.add(new Sample(now, balance, charged));
    samples.clear();
    Iterator<Sample> remaining = before.iterator();
    Sample previous = remaining.next();
    double replayed = scaled(previous.balance(), share.ratio());
    samples.add(new Sample(previous.at(), replayed, previous.charged()));
    while (remaining.hasNext()) {
      Sample sample = remaining.next();
      if (sample.at().isAfter(since)) {
        double seconds = Duration.between(previous.at(), sample.at()).toNanos() / 1e9;
        double refilled = Math.min(share.capacity(), replayed + seconds * share.perSecond());
        replayed = Math.min(sample.balance(), refilled - (sample.charged() - previous.charged()));
      } else {
        replayed = scaled(sample.balance(), share.ratio());
      }
      samples.add(new Sample(sample.at(), replayed, sample.charged()));
      previous = sample;
    }
    return replayed;
  }

  /** Returns the units that were available at the given time, 0 if there is no sample. */
  double at(Instant time) {
    double balance = 0;
    for (Sample sample : samples) {
      if (!sample.at().isAfter(time)) {
        balance = Math.max(0, sample.balance());
      }
    }
    return balance;
  }

  /** Debts are not divided: the silent entries do not pay them. */
  private static double scaled(double balance, double ratio) {
    return balance > 0 ? ratio * balance : balance;
  }
}
