package org.lacewingcroft.control;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Path;
import org.lacewingcroft.config.ConfigStore;
import org.lacewingcroft.error.ErrorKind;
import org.lacewingcroft.error.GatewayException;
import org.lacewingcroft.peer.Membership;
import org.lacewingcroft.peer.PeerMessage;

/**
 * The control role: accepts operators' changes into the durable {@link ControlLog}, applies them to
 * its own {@link ConfigStore} and pushes each new version to every daemon it knows.
 *
 * <p>Changes are serialised on one Vert.x context; the disk sync runs on a worker thread so the
 * event loop never blocks.
 */
public final class ControlService implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(ControlService.class.getName());
  private final Vertx vertx;
  private final ControlLog log;
  private final ConfigStore configs;
  private final Membership membership;
  private final long term;

  /**
   * Opens the log in the data folder and recovers the version in force.
   *
   * @param vertx the Vert.x instance
   * @param dataDir the data folder
   * @param configs the daemon's configuration store, fed from the log
   * @param membership the membership, to push new versions
   * @throws IOException if the log cannot be opened
   */
  public ControlService(Vertx vertx, Path dataDir, ConfigStore configs, Membership membership)
      throws IOException {
    this.vertx = vertx;
    this.log = ControlLog.open(dataDir);
    this.configs = configs;
    this.membership = membership;
    this.term = 1;
    log.last().ifPresent(e -> configs.offer(e.index(), e.document()));
    LOG.log(
        System.Logger.Level.INFO,
        "control.recovered",
        "version",
        log.lastIndex(),
        "entries",
        log.size());
  }

  /**
   * Accepts a change durably and pushes it.
   *
   * @param changeId the operator's client change id
   * @param expectedVersion the version the change is based on
   * @param document the YAML document
   * @return the result, completed after the disk sync
   */
  public io.vertx.core.Future<ChangeResult> apply(
      String changeId, long expectedVersion, String document) {
    return vertx.executeBlocking(
        () -> {
          synchronized (log) {
            ChangeResult result = log.append(changeId, expectedVersion, term, document);
            if (result instanceof ChangeResult.Accepted a && !a.duplicate()) {
              configs.offer(a.version(), document);
              LOG.log(
                  System.Logger.Level.INFO,
                  "config.accepted",
                  "change",
                  changeId,
                  "version",
                  a.version());
              membership.broadcast(null, null, new PeerMessage.ConfigOffer(a.version(), document));
            }
            return result;
          }
        },
        true);
  }

  /** Returns a typed error for an I/O failure while appending. */
  public static GatewayException diskFailure(Throwable e) {
    return new GatewayException(ErrorKind.NO_QUORUM, "the change could not be made durable: " + e);
  }

  @Override
  public void close() throws IOException {
    log.close();
  }
}
