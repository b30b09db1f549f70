package org.lacewingcroft.fleet;

import java.time.InstantSource;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Reports an entry's pressure to the control instances, and holds whether the entry is on standby.
 *
 * <p>Confined to the event loop thread.
 */
final class PressureReporter {
  private static final System.Logger LOG = System.getLogger(PressureReporter.class.getName());

  /** An entry on standby sends its pressure with each report whose number is divisible by this. */
  private static final int REPORTS_PER_STANDBY_PRESSURE = 2;

  /**
   * Share of a resource from which the pressure is sent to all control instances with each report,
   * so that those of other regions let the active set grow at about the same time.
   */
  private static final double HIGH_PRESSURE = 0.5;

  private final FleetSettings settings;
  private final FleetTransport transport;
  private final InstantSource clock;
  private final StandbyState state;
  private Optional<Supplier<EntryPressure>> pressure = Optional.empty();
  private boolean standbyLogged;
  private long reportCount;

  PressureReporter(FleetSettings settings, FleetTransport transport, InstantSource clock) {
    this.settings = settings;
    this.transport = transport;
    this.clock = clock;
    this.state = new StandbyState(settings.nodeName());
  }

  /** Sets the source of this entry's pressure, without which none is reported. */
  void usePressure(Supplier<EntryPressure> source) {
    pressure = Optional.of(source);
  }

  StandbyState state() {
    return state;
  }

  /** Applies the active entries. */
  void onActiveEntries(FleetMessage.ActiveEntries message) {
    if (settings.reportsPressure()) {
      state.onActiveEntries(message, clock.instant());
    }
  }

  /** Returns whether this entry is on standby and serves no requests. */
  boolean isStandby() {
    return state.isStandby(clock.instant());
  }

  /**
   * Reports the pressure.
   *
   * @param followed the control instances that this entry follows
   * @param all all known control instances
   * @param broadcast whether this entry's report goes to all of them
   * @param regionEntries number of entries in this region
   */
  void report(
      Collection<String> followed, Collection<String> all, boolean broadcast, int regionEntries) {
    logChange();
    reportCount++;
    boolean needed =
        settings.reportsPressure()
            && regionEntries > ActiveSet.MAX_UNRESTRICTED_ENTRIES
            && (broadcast || !isStandby() || reportCount % REPORTS_PER_STANDBY_PRESSURE == 0);
    if (needed && pressure.isPresent()) {
      EntryPressure current = pressure.get().get();
      boolean high = Math.max(current.eventLoop(), current.link()) > HIGH_PRESSURE;
      transport.sendAll(
          broadcast || high ? all : followed,
          new FleetMessage.PressureReport(
              settings.nodeName(), settings.capacity().orElseThrow(), current));
    }
  }

  private void logChange() {
    boolean standby = isStandby();
    if (standby != standbyLogged) {
      standbyLogged = standby;
      LOG.log(System.Logger.Level.INFO, "entry.standby", "standby", standby);
    }
  }
}
