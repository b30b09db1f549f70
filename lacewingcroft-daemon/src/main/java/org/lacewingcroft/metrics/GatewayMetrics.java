package org.lacewingcroft.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.ToLongFunction;
import org.lacewingcroft.control.StorageState;
import org.lacewingcroft.limit.EventLoopLoad;
import org.lacewingcroft.peer.PeerTraffic;

/** The daemon's Prometheus metrics, exposed as text on {@code /metrics}. */
public final class GatewayMetrics {
  private static final double NANOS_PER_SECOND = 1e9;

  private final PrometheusRegistry registry = new PrometheusRegistry();

  /** Requests of callers by outcome, such as served, forwarded, not_run or outcome_unknown. */
  public final Counter requests =
      Counter.builder()
          .name("lwc_requests_total")
          .help("Caller requests by outcome")
          .labelNames("outcome")
          .register(registry);

  /** Extra sends, which are all sends of a request after its first, by reason: retry, hedge. */
  public final Counter extraSends =
      Counter.builder()
          .name("lwc_extra_sends_total")
          .help("Sends beyond a request's first, by reason")
          .labelNames("reason")
          .register(registry);

  /** At-most-once records that this daemon holds as a replica. */
  public final Gauge keyRecords =
      Gauge.builder().name("lwc_key_records").help("At-most-once records held").register(registry);

  /** The active configuration version. */
  public final Gauge configVersion =
      Gauge.builder()
          .name("lwc_config_version")
          .help("Configuration version in force on this daemon")
          .register(registry);

  /** The number of endpoints in the directory. */
  public final Gauge endpoints =
      Gauge.builder().name("lwc_endpoints").help("Endpoints known").register(registry);

  /** The number of request contents that are quarantined because they crashed endpoints. */
  public final Gauge quarantinedContents =
      Gauge.builder()
          .name("lwc_quarantined_contents")
          .help("Contents not run any more because endpoints broke off under them")
          .register(registry);

  /** The number of members in the membership table. */
  public final Gauge members =
      Gauge.builder().name("lwc_members").help("Daemons known").register(registry);

  /** Peer frames rejected for their size or authentication tag. */
  public final Gauge framesRejected =
      Gauge.builder()
          .name("lwc_peer_frames_rejected")
          .help("Peer frames refused for size or tag")
          .register(registry);

  /** Configuration offers rejected because they were not newer than the active version. */
  public final Gauge staleConfigOffers =
      Gauge.builder()
          .name("lwc_config_stale_offers")
          .help("Configuration offers refused as older or equal")
          .register(registry);

  private final Gauge controlStorage =
      Gauge.builder()
          .name("lwc_control_storage")
          .help("1 for the state of the data folder, such as open, opening, failed or damaged")
          .labelNames("state")
          .register(registry);

  /** The number of requests in flight through this daemon. */
  public final Gauge inFlight =
      Gauge.builder().name("lwc_in_flight").help("Requests in flight").register(registry);

  /** The number of entries that a control instance directs callers to, by region. */
  public final Gauge activeEntries =
      Gauge.builder()
          .name("lwc_active_entries")
          .help("Entries that callers are directed to, by region")
          .labelNames("region")
          .register(registry);

  /** Changes of the active entries at a control instance, by region and cause. */
  public final Counter activeEntryChanges =
      Counter.builder()
          .name("lwc_active_entry_changes_total")
          .help("Changes of the active entries by region and cause")
          .labelNames("region", "cause")
          .register(registry);

  /** Whether an entry is on standby: 1, or 0 if callers are directed to it. */
  public final Gauge standby =
      Gauge.builder()
          .name("lwc_entry_standby")
          .help("1 if callers are directed to other entries and this one serves no requests")
          .register(registry);

  /** Seconds from the receipt of a request until the first byte of its response is relayed. */
  public final Histogram firstByteSeconds =
      Histogram.builder()
          .name("lwc_first_byte_seconds")
          .help("Seconds from request to the first answer byte relayed")
          .register(registry);

  /** Seconds for which a request waited for the event loop and its body was received. */
  public final Histogram requestQueueSeconds =
      stageHistogram("lwc_request_queue_seconds", "Seconds until a request was read");

  /** Seconds for which a request waited until it was placed. */
  public final Histogram requestPlacementSeconds =
      stageHistogram("lwc_request_placement_seconds", "Seconds until a request was placed");

  /** Seconds for which a request waited for a connection and for being written to it. */
  public final Histogram requestConnectSeconds =
      stageHistogram("lwc_request_connect_seconds", "Seconds until a placed request was written");

  /** Seconds from writing a request to an endpoint to the head of its response. */
  public final Histogram requestEndpointSeconds =
      stageHistogram("lwc_request_endpoint_seconds", "Seconds for which an endpoint was awaited");

  /** Seconds from writing a request to another entry to the head of its response. */
  public final Histogram requestRelaySeconds =
      stageHistogram("lwc_request_relay_seconds", "Seconds for which another entry was awaited");

  /** Records the state of a control instance's data folder. */
  public void setControlStorage(StorageState current) {
    for (StorageState state : StorageState.values()) {
      controlStorage.labelValues(state.wireName()).set(state == current ? 1 : 0);
    }
  }

  private Histogram stageHistogram(String name, String help) {
    return Histogram.builder().name(name).help(help).register(registry);
  }

  /** Seconds from the receipt of a request until it is finished, by outcome. */
  public final Histogram requestSeconds =
      Histogram.builder()
          .name("lwc_request_seconds")
          .help("Seconds from request to its end, by outcome")
          .labelNames("outcome")
          .register(registry);

  /** Placement decisions: in this region, in another region, or the reason for a refusal. */
  public final Counter placements =
      Counter.builder()
          .name("lwc_placements_total")
          .help("Placement decisions by where the request went")
          .labelNames("where")
          .register(registry);

  /** Memory that is held for requests without a complete response. */
  public final Gauge requestMemoryBytes =
      Gauge.builder()
          .name("lwc_request_memory_bytes")
          .help("Memory held for requests that are not complete or have no complete response")
          .register(registry);

  /** Requests ended before they were complete because of the memory that requests hold. */
  public final Counter requestsEndedForMemory =
      Counter.builder()
          .name("lwc_requests_ended_for_memory_total")
          .help("Incomplete requests that were ended because requests held too much memory")
          .register(registry);

  /** Connections of clients closed because there were too many. */
  public final Counter connectionsClosedAtLimit =
      Counter.builder()
          .name("lwc_connections_closed_at_limit_total")
          .help("Connections of clients that were closed because there were too many")
          .register(registry);

  /** Requests refused because their organisation exceeds its share of a saturated service. */
  public final Counter shareRefusals =
      Counter.builder()
          .name("lwc_share_refusals_total")
          .help("Requests refused because an organisation exceeds its share of a service")
          .labelNames("service", "organisation")
          .register(registry);

  /** The number of entries that share the quotas of organisations, by what is known of them. */
  public final Gauge quotaEntries =
      Gauge.builder()
          .name("lwc_quota_entries")
          .help("Entries that share quotas: known, current (usage is known)")
          .labelNames("state")
          .register(registry);

  /** The number of services of the region that are saturated. */
  public final Gauge saturatedServices =
      Gauge.builder()
          .name("lwc_saturated_services")
          .help("Services of the region whose capacity is shared between organisations")
          .register(registry);

  /** Failed attempts by kind of failure: unreachable, refused, broken or withdrawn. */
  public final Counter failedAttempts =
      Counter.builder()
          .name("lwc_tries_failed_total")
          .help("Tries without an answer, by what the target did")
          .labelNames("what")
          .register(registry);

  /** Connections to servers that are not used again, by reason. */
  public final Counter retiredConnections =
      Counter.builder()
          .name("lwc_connections_retired_total")
          .help("Connections not used again because of what a server sent on them, by reason")
          .labelNames("reason")
          .register(registry);

  /** Responses stating that their request was not run, by what shows that they belong to it. */
  public final Counter refusals =
      Counter.builder()
          .name("lwc_refusals_total")
          .help("Responses of servers stating that the request was not run, by their evidence")
          .labelNames("evidence")
          .register(registry);

  /** Idle connections replaced because the request to be written was refused on them before. */
  public final Counter passedOverConnections =
      Counter.builder()
          .name("lwc_connections_passed_over_total")
          .help("Idle connections replaced because the next request was refused on them before")
          .register(registry);

  /** Requests written to a connection on which they were refused before. */
  public final Counter sentAfterRefusal =
      Counter.builder()
          .name("lwc_sent_after_refusal_total")
          .help("Requests written to a connection on which they were refused before")
          .register(registry);

  /** Responses that an entry ended before they were complete, by cause. */
  public final Counter abortedResponses =
      Counter.builder()
          .name("lwc_aborted_responses_total")
          .help("Responses that were ended before they were complete, by cause")
          .labelNames("cause")
          .register(registry);

  /**
   * Repeated sends on the fleet's request path, by what the fleet-wide budget of extra sends
   * decided: granted, denied or exempt.
   */
  public final Counter resends =
      Counter.builder()
          .name("lwc_resends_total")
          .help("Repeated sends by the decision of the budget of extra sends")
          .labelNames("budget")
          .register(registry);

  /** Load reports in the response heads of endpoints, by result: accepted or malformed. */
  public final Counter endpointLoads =
      Counter.builder()
          .name("lwc_endpoint_load_headers_total")
          .help("Load headers of endpoints by whether they could be read")
          .labelNames("result")
          .register(registry);

  /** The number of endpoints of this region by the room that they report to have. */
  public final Gauge endpointsByRoom =
      Gauge.builder()
          .name("lwc_endpoints_by_room")
          .help("Endpoints by the room for another request that their reported load shows")
          .labelNames("room")
          .register(registry);

  /** Endpoint announcements received by a control instance, by whether it acknowledged them. */
  public final Counter announcements =
      Counter.builder()
          .name("lwc_announcements_total")
          .help("Endpoints' announcements by acknowledgement")
          .labelNames("acknowledged")
          .register(registry);

  /**
   * Operator orders and reads at a control instance, by kind and by whether they were confirmed.
   */
  public final Counter orders =
      Counter.builder()
          .name("lwc_orders_total")
          .help("Operators' orders and reads by kind and by whether they were confirmed")
          .labelNames("order", "confirmed")
          .register(registry);

  /** Seconds from an operator order or read until it is confirmed or fails. */
  public final Histogram orderSeconds =
      Histogram.builder()
          .name("lwc_order_seconds")
          .help("Seconds from an operator's order to its answer")
          .register(registry);

  /** Requests that an entry refused because its event loop was late, by sender: caller, entry. */
  public final Counter overloadRefusals =
      Counter.builder()
          .name("lwc_overload_refusals_total")
          .help("Requests refused because the event loop was late, by sender")
          .labelNames("sender")
          .register(registry);

  /** Requests whose sender had disconnected before they were started: caller, entry. */
  public final Counter disconnectedBeforeStart =
      Counter.builder()
          .name("lwc_disconnected_before_start_total")
          .help("Requests not started because their sender had disconnected, by sender")
          .labelNames("sender")
          .register(registry);

  /** Registers metrics for the load of an entry's event loop. */
  public void registerEventLoop(EventLoopLoad load) {
    GaugeWithCallback.builder()
        .name("lwc_event_loop_utilization")
        .help("Share of time in which the event loop was busy, averaged over about a second")
        .callback(gauge -> gauge.call(load.utilization()))
        .register(registry);
    GaugeWithCallback.builder()
        .name("lwc_event_loop_delay_seconds")
        .help("Longest time that requests may recently have waited unread")
        .callback(gauge -> gauge.call(load.currentDelay().toNanos() / NANOS_PER_SECOND))
        .register(registry);
  }

  /** Requests of the warm-up after a start, by whether they were answered or failed. */
  public final Counter warmUpRequests =
      Counter.builder()
          .name("lwc_warm_up_requests_total")
          .help("Synthetic requests of the warm-up after a start by outcome")
          .labelNames("outcome")
          .register(registry);

  /** Warm-ups by outcome: complete, timeout, caller, failed or skipped. */
  public final Counter warmUps =
      Counter.builder()
          .name("lwc_warm_ups_total")
          .help("Warm-ups of the request path by how they ended")
          .labelNames("outcome")
          .register(registry);

  /** Registers metrics for the messages between instances by kind. */
  public void registerPeerTraffic(PeerTraffic traffic) {
    exposeByDirection(
        "lwc_peer_messages_total",
        "Messages between instances by kind and direction",
        traffic,
        PeerTraffic.Totals::sent,
        PeerTraffic.Totals::received);
    exposeByDirection(
        "lwc_peer_bytes_total",
        "Bytes of messages between instances by kind and direction",
        traffic,
        PeerTraffic.Totals::sentBytes,
        PeerTraffic.Totals::receivedBytes);
    CounterWithCallback.builder()
        .name("lwc_peer_work_seconds_total")
        .help("Time spent on encoding, decoding and handling messages between instances")
        .labelNames("kind")
        .callback(
            counter ->
                traffic
                    .totals()
                    .forEach((kind, t) -> counter.call(t.workNanos() / NANOS_PER_SECOND, kind)))
        .register(registry);
  }

  private void exposeByDirection(
      String name,
      String help,
      PeerTraffic traffic,
      ToLongFunction<PeerTraffic.Totals> sent,
      ToLongFunction<PeerTraffic.Totals> received) {
    CounterWithCallback.builder()
        .name(name)
        .help(help)
        .labelNames("kind", "direction")
        .callback(
            counter ->
                traffic
                    .totals()
                    .forEach(
                        (kind, totals) -> {
                          counter.call(sent.applyAsLong(totals), kind, "sent");
                          counter.call(received.applyAsLong(totals), kind, "received");
                        }))
        .register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
  public String scrape() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new IllegalStateException("writing metrics into memory failed", e);
    }
    return out.toString(StandardCharsets.UTF_8);
  }
}
