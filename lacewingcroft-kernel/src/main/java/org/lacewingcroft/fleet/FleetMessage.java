package org.lacewingcroft.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.limit.EndpointRateLimit;
import org.lacewingcroft.limit.UsageReport;
import org.lacewingcroft.quarantine.Suspicion;

/**
 * Messages between the entries and control instances of a fleet: membership, endpoint records,
 * routing state, and endpoint load. Instance addresses are those of the peer transport.
 */
public sealed interface FleetMessage {

  /**
   * An entry's periodic report to a control instance.
   *
   * @param entry the entry
   * @param ready whether it accepts requests
   * @param following whether the entry follows this control instance, that is, receives changes of
   *     its roster and entry list; an instance that it does not follow receives reports less often
   * @param revision the revision of its routing state
   * @param rosterDigest the digest of its roster
   * @param entriesDigest the digest of its list of entries
   * @param quarantineDigest the digest of its quarantined request contents
   * @param reportId the id that the reply repeats
   */
  record EntryReport(
      EntryInfo entry,
      boolean ready,
      boolean following,
      long revision,
      int rosterDigest,
      int entriesDigest,
      int quarantineDigest,
      long reportId)
      implements FleetMessage {}

  /**
   * A control instance's heartbeat reply to a report; also sent without a report when the routing
   * state changes.
   *
   * @param from the control instance
   * @param region its region
   * @param inMajority whether its routing state is known to have been current a short time ago
   *     ({@code FleetBounds.maxStateAge}), so that the reply confirms the state of an entry
   * @param discoveryComplete whether it has run long enough to know all endpoints that announce
   *     themselves
   * @param revision the revision of its committed routing state
   * @param quarantineDigest the digest of its quarantined request contents
   * @param controls the known control instances, itself included
   * @param reportId the id of the report that this replies to; 0 if it replies to none
   */
  record ControlPulse(
      String from,
      String region,
      boolean inMajority,
      boolean discoveryComplete,
      long revision,
      int quarantineDigest,
      List<String> controls,
      long reportId)
      implements FleetMessage {}

  /**
   * A control instance's heartbeat to the others, which also requests admission to the control
   * group.
   *
   * @param from the control instance
   * @param recurringDigest the digest of its recorded request contents that have crashed several
   *     endpoints
   * @param controls the known control instances, itself included
   */
  record ControlHello(String from, int recurringDigest, List<String> controls)
      implements FleetMessage {}

  /**
   * Endpoint records: announcements forwarded between control instances, changes pushed to entries,
   * or the complete roster.
   *
   * @param from the sender
   * @param callId identifies the update in a {@link RosterAck}; 0 if none is requested
   * @param complete whether the records are the whole roster of the sender
   * @param records the records
   */
  record RosterUpdate(String from, long callId, boolean complete, List<EndpointRecord> records)
      implements FleetMessage {}

  /**
   * Acknowledges a {@link RosterUpdate}.
   *
   * @param from the control instance that has applied the update
   * @param callId the call id of the update
   */
  record RosterAck(String from, long callId) implements FleetMessage {}

  /**
   * The entries that accept requests.
   *
   * @param from the control instance
   * @param entries the entries
   */
  record EntryList(String from, List<EntryInfo> entries) implements FleetMessage {
    /** Returns a digest that in all likelihood differs between lists of different entries. */
    public int digest() {
      return entries.stream().mapToInt(EntryInfo::hashCode).sum();
    }
  }

  /**
   * Which services some entries do not reach. An entry sends its own to the control instances,
   * which send those of all entries to each entry, in both cases repeatedly while there are any;
   * they expire when they are not repeated.
   *
   * @param from the sender
   * @param unreachableServices by the name of an entry, the services of its region of which no
   *     endpoint responds to it
   */
  record EntryReach(String from, Map<String, Set<String>> unreachableServices)
      implements FleetMessage {}

  /**
   * Reports that an entry lost all its connections to an endpoint, which may have started again. An
   * entry sends it to the control instances that it follows, which pass it on to the entries of its
   * region: those without a connection would not notice.
   *
   * @param entry the name of the entry that lost its connections
   * @param region its region
   * @param endpoint the endpoint's id
   * @param address the endpoint's address
   */
  record ConnectionsLost(String entry, String region, String endpoint, String address)
      implements FleetMessage {}

  /**
   * An entry's capacity and how much of it is in use, sent to the control instances beside its
   * report.
   *
   * @param entry the entry's name
   * @param capacity its capacity
   * @param pressure how much of it is in use
   */
  record PressureReport(String entry, EntryCapacity capacity, EntryPressure pressure)
      implements FleetMessage {}

  /**
   * The entries that callers are directed to, sent by a control instance to the entries that follow
   * it. The other entries are on standby.
   *
   * @param from the control instance
   * @param names the names of the active entries of all regions
   */
  record ActiveEntries(String from, List<String> names) implements FleetMessage {}

  /**
   * The load that endpoints have reported in their responses, sent to the other entries of the
   * region.
   *
   * @param from the entry's name, or the aggregator that merged the reports of several entries
   * @param region the region of the endpoints
   * @param reports the newest report of each endpoint
   */
  record EndpointReports(String from, String region, List<EndpointReport> reports)
      implements FleetMessage {}

  /**
   * The load that an endpoint has reported in a response.
   *
   * @param endpoint the endpoint's id
   * @param running number of requests that it is running
   * @param waiting number of requests in its queue
   * @param slots number of requests that it runs concurrently
   * @param pacePercent how long work takes on its machine at the time of the report, 100 for the
   *     usual time
   * @param ageMillis time since the report was received, in ms
   */
  record EndpointReport(
      String endpoint, int running, int waiting, int slots, int pacePercent, long ageMillis) {}

  /**
   * Requests the routing state.
   *
   * @param from the requesting entry
   */
  record StateRequest(String from) implements FleetMessage {}

  /**
   * The committed routing state.
   *
   * @param revision its revision
   * @param version the operator's version of the document
   * @param document the document
   * @param evacuatedDomains the evacuated failure domains
   */
  record StateOffer(long revision, long version, String document, Set<String> evacuatedDomains)
      implements FleetMessage {}

  /** The operation that a {@link ControlCall} requests from the leader. */
  enum ControlOrder {
    /** Activate the document under the given version. */
    ROUTE,
    /** Begin the evacuation of the failure domain given as the argument. */
    EVACUATE,
    /** End the evacuation of the failure domain given as the argument. */
    RETURN,
    /** Read the routing state. */
    READ
  }

  /**
   * An operator order or a read, forwarded to the leader.
   *
   * @param from the control instance that forwards it
   * @param callId identifies it in the reply
   * @param order the operation
   * @param version the document's version, for {@link ControlOrder#ROUTE}
   * @param argument the document or the failure domain
   * @param baseRevision the routing revision known to that instance when it received the order
   */
  record ControlCall(
      String from,
      long callId,
      ControlOrder order,
      long version,
      String argument,
      long baseRevision)
      implements FleetMessage {}

  /**
   * Replies to a {@link ControlCall}.
   *
   * @param callId the id of the call
   * @param committed whether the order is committed; otherwise its outcome is unknown
   * @param version for a read, the operator's version of the active document
   * @param document for a read, that document
   */
  record ControlReply(long callId, boolean committed, long version, String document)
      implements FleetMessage {}

  /**
   * Request contents that are suspected of crashing endpoints. Entries report what they observe to
   * the control instances, control instances forward it to each other, and all of them exchange
   * which contents are quarantined.
   *
   * @param from the sender
   * @param callId identifies the message in a {@link SuspicionAck}; 0 if none is requested
   * @param suspicions the suspected contents
   */
  record SuspicionUpdate(String from, long callId, List<Suspicion> suspicions)
      implements FleetMessage {}

  /**
   * Acknowledges a {@link SuspicionUpdate}.
   *
   * @param callId the call id of the update
   */
  record SuspicionAck(long callId) implements FleetMessage {}

  /**
   * An entry's requests in flight at the endpoints, sent to the other entries of its region.
   *
   * @param from the entry's name
   * @param complete whether the entry has no requests in flight at endpoints that are not listed
   * @param loads its load by endpoint
   */
  record LoadReport(String from, boolean complete, List<EndpointLoad> loads)
      implements FleetMessage {}

  /**
   * One entry's load at one endpoint.
   *
   * @param endpoint the endpoint's id
   * @param running requests in flight
   * @param pendingPrompts the prompts among them that the endpoint has not prefilled yet
   * @param rateLimit the rate limit that the endpoint has recently advertised to this entry, if any
   */
  record EndpointLoad(
      String endpoint,
      int running,
      List<PendingPrompt> pendingPrompts,
      Optional<EndpointRateLimit.Report> rateLimit) {}

  /**
   * A prompt that was sent to an endpoint and is not yet prefilled.
   *
   * @param priority its priority, 0 the most urgent
   * @param tokens number of tokens to prefill
   * @param ageMillis time since it was sent, in ms
   */
  record PendingPrompt(int priority, long tokens, long ageMillis) {}

  /**
   * An entry's report that an endpoint has prefilled a prompt prefix, which other endpoints may
   * fetch from its KV cache. The name of this message is part of metrics and logs and must not
   * change.
   *
   * @param endpoint the endpoint's id
   * @param parts the prefilled parts, in order
   */
  record PrefixRead(String endpoint, List<PrefixPart> parts) implements FleetMessage {}

  /**
   * One prefilled part of a prompt.
   *
   * @param id identifies its content
   * @param tokens its length in tokens
   */
  record PrefixPart(String id, long tokens) {}

  /**
   * The load of a region, sent to the entries of other regions.
   *
   * @param region the region
   * @param services one element per service
   */
  record RegionLoad(String region, List<ServiceLoad> services) implements FleetMessage {}

  /**
   * The load of a service in a region.
   *
   * @param service the service
   * @param endpoints number of endpoints that accept requests
   * @param waitMillis the expected wait there in ms, indexed by priority
   * @param tokenMillis the time per output token there, in ms
   * @param capacity the capacity of the endpoints; empty if an earlier build reports
   */
  record ServiceLoad(
      String service,
      int endpoints,
      long[] waitMillis,
      double tokenMillis,
      Optional<ServiceCapacity> capacity) {}

  /**
   * The capacity of the endpoints of a service in a region, all together.
   *
   * @param prefillTokensPerMilli their prefill speed, in prompt tokens per millisecond
   * @param spareTokensPerMilli the prefill speed of those of them that have no prompt to prefill
   * @param slots the number of requests that they run concurrently
   * @param occupiedSlots the number of requests that they run and queue
   */
  record ServiceCapacity(
      double prefillTokensPerMilli, double spareTokensPerMilli, int slots, int occupiedSlots) {}

  /**
   * A batch of updates that entries exchange, of one entry or merged from several. It is named
   * after the messages that contain it.
   *
   * @param loads the entries' load at endpoints; a later report of an entry follows its earlier
   *     ones
   * @param prefixes prompt prefixes that endpoints have prefilled
   * @param regionLoads the load of whole regions
   * @param serviceUsage increases of the usage of saturated services, by an encoded key; its name
   *     on the wire is that of quota usage, which earlier builds send here
   * @param quotaUsage reports of the quota used by callers, at most one of each counter
   */
  record News(
      List<LoadReport> loads,
      List<PrefixRead> prefixes,
      List<RegionLoad> regionLoads,
      Map<String, Long> serviceUsage,
      List<UsageReport> quotaUsage) {
    /** An empty batch. */
    public static final News NONE = new News(List.of(), List.of(), List.of());

    /** Creates a batch without usage. */
    public News(List<LoadReport> loads, List<PrefixRead> prefixes, List<RegionLoad> regionLoads) {
      this(loads, prefixes, regionLoads, Map.of(), List.of());
    }

    /** Returns a batch that contains only reports of quota usage. */
    public static News ofQuotaUsage(List<UsageReport> reports) {
      return new News(List.of(), List.of(), List.of(), Map.of(), reports);
    }

    /** Returns whether the batch is empty. */
    public boolean isEmpty() {
      return loads.isEmpty()
          && prefixes.isEmpty()
          && regionLoads.isEmpty()
          && serviceUsage.isEmpty()
          && quotaUsage.isEmpty();
    }
  }

  /**
   * An entry's updates, sent to the aggregator of its region. The name of this message is part of
   * metrics and logs and must not change.
   *
   * @param from the entry's name
   * @param region its region
   * @param urgent whether the other entries need the updates before the next regular batch
   * @param news the updates
   */
  record EntryNews(String from, String region, boolean urgent, News news) implements FleetMessage {}

  /**
   * The updates that an aggregator has received since its last batch, sent to the entries of a
   * region. An empty batch serves as a heartbeat. The name of this message is part of metrics and
   * logs and must not change.
   *
   * @param from the aggregator
   * @param news the updates, including the recipient's own
   */
  record NewsDigest(String from, News news) implements FleetMessage {}

  /**
   * The updates that concern other regions, sent by an aggregator to the aggregators of those
   * regions. The name of this message is part of metrics and logs and must not change.
   *
   * @param region the region that the updates come from
   * @param news prefixes, the region's load, usage of services and of quotas
   */
  record RemoteNews(String region, News news) implements FleetMessage {}
}
