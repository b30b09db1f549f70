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

  private boolean isEnabled() {
    return settings.activeEntriesMode() == ActiveEntriesMode.AUTO
        && settings.capacity().isPresent();
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
    if (isEnabled()) {
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
   * @param controls the control instances that receive this report
   * @param regionEntries number of entries in this region
   */
  void report(Collection<String> controls, int regionEntries) {
    logChange();
    reportCount++;
    boolean needed =
        isEnabled()
            && regionEntries > ActiveSet.MAX_UNRESTRICTED_ENTRIES
            && (!isStandby() || reportCount % REPORTS_PER_STANDBY_PRESSURE == 0);
    if (needed && pressure.isPresent()) {
      transport.sendAll(
          controls,
          new FleetMessage.PressureReport(
              settings.nodeName(), settings.capacity().orElseThrow(), pressure.get().get()));
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
