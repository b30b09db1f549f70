package org.lacewingcroft.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingcroft.limit.EndpointRateLimit;
import org.lacewingcroft.quarantine.Suspicion;

/**
 * The messages between entries and control instances of a fleet: who is there, which endpoints they
 * know, what the routing state is, and how loaded the endpoints are. Addresses are those of the
 * peer transport.
 */
public sealed interface FleetMessage {

  /**
   * An entry's periodic report to a control instance.
   *
   * @param entry the entry
   * @param ready whether it takes callers
   * @param wantsUpdates whether the entry goes by this instance's roster and list of entries, and
   *     wants to be told of changes; an instance that it does not go by hears it less often
   * @param revision the revision of its routing state
   * @param rosterDigest the digest of its roster
   * @param entriesDigest the digest of the entries it knows
   * @param quarantineDigest the digest of the quarantined contents it knows
   * @param reportId what the answer is to repeat
   */
  record EntryReport(
      EntryInfo entry,
      boolean ready,
      boolean wantsUpdates,
      long revision,
      int rosterDigest,
      int entriesDigest,
      int quarantineDigest,
      long reportId)
      implements FleetMessage {}

  /**
   * A control instance's answer to a report.
   *
   * @param from the control instance
   * @param region its region
   * @param inMajority whether it is in touch with a majority of its group
   * @param settled whether it has run long enough to know all endpoints that announce themselves
   * @param revision the revision of its committed routing state
   * @param quarantineDigest the digest of the quarantined contents it knows
   * @param controls the control instances it knows
   * @param reportId names the report that this answers; 0 if it answers none
   */
  record ControlPulse(
      String from,
      String region,
      boolean inMajority,
      boolean settled,
      long revision,
      int quarantineDigest,
      List<String> controls,
      long reportId)
      implements FleetMessage {}

  /**
   * A control instance's sign of life to the others; it also asks to be replicated to.
   *
   * @param from the control instance
   * @param recurringDigest the digest of the contents it knows under which several endpoints broke
   *     off
   * @param controls the control instances it knows
   */
  record ControlHello(String from, int recurringDigest, List<String> controls)
      implements FleetMessage {}

  /**
   * Records of endpoints: announcements passed on between control instances, changes pushed to
   * entries, or the whole roster.
   *
   * @param from the sender
   * @param callId names the update in a {@link RosterAck}; 0 if none is wanted
   * @param complete whether these are all endpoints that the sender knows
   * @param records the records
   */
  record RosterUpdate(String from, long callId, boolean complete, List<EndpointRecord> records)
      implements FleetMessage {}

  /**
   * Confirms a {@link RosterUpdate}.
   *
   * @param from the control instance that has it now
   * @param callId the update
   */
  record RosterAck(String from, long callId) implements FleetMessage {}

  /**
   * The entries that take callers.
   *
   * @param from the control instance
   * @param entries the entries
   */
  record EntryList(String from, List<EntryInfo> entries) implements FleetMessage {}

  /**
   * Asks for the routing state.
   *
   * @param from the asking entry
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

  /** What a {@link ControlCall} asks of the leader. */
  enum ControlOrder {
    /** Put the document in force under the version. */
    ROUTE,
    /** Begin the evacuation of the failure domain that the text names. */
    EVACUATE,
    /** Summary it. */
    RETURN,
    /** Read the routing state. */
    READ
  }

  /**
   * An operator's order, passed on to the leader.
   *
   * @param from the control instance that passes it on
   * @param callId names it in the reply
   * @param order the order
   * @param version the document's version, for {@link ControlOrder#ROUTE}
   * @param text the document or the failure domain
   * @param baseRevision the routing revision known to that instance when the operator called it
   */
  record ControlCall(
      String from, long callId, ControlOrder order, long version, String text, long baseRevision)
      implements FleetMessage {}

  /**
   * Answers a {@link ControlCall}.
   *
   * @param callId the call
   * @param committed whether the order is committed; otherwise its outcome is not known
   * @param version for a read the operator's version in force
   * @param document for a read its document
   */
  record ControlReply(long callId, boolean committed, long version, String document)
      implements FleetMessage {}

  /**
   * Contents under which endpoints broke off. Entries tell control instances what they have seen,
   * control instances tell each other, and all tell each other which contents are quarantined.
   *
   * @param from the sender
   * @param callId names the message in a {@link SuspicionAck}; 0 if none is wanted
   * @param suspicions the contents
   */
  record SuspicionUpdate(String from, long callId, List<Suspicion> suspicions)
      implements FleetMessage {}

  /**
   * Confirms a {@link SuspicionUpdate}.
   *
   * @param callId the update
   */
  record SuspicionAck(long callId) implements FleetMessage {}

  /**
   * An entry tells the others of its region what it has in flight at their endpoints.
   *
   * @param from the entry's name
   * @param complete whether it has nothing in flight at endpoints that are not named
   * @param loads its work by endpoint
   */
  record LoadReport(String from, boolean complete, List<EndpointLoad> loads)
      implements FleetMessage {}

  /**
   * One entry's work at one endpoint.
   *
   * @param endpoint the endpoint's id
   * @param running requests in flight
   * @param pendingPrompts the prompts among them that the endpoint has not read yet
   * @param rate what it has lately stated to this entry of the rate that it takes, if anything
   */
  record EndpointLoad(
      String endpoint,
      int running,
      List<UnreadPrompt> pendingPrompts,
      Optional<EndpointRateLimit.Report> rate) {}

  /**
   * A prompt that an endpoint has been sent and has not read yet.
   *
   * @param priority its priority, 0 the most urgent
   * @param tokens how many tokens the endpoint has to read
   * @param ageMillis how long ago it was sent
   */
  record UnreadPrompt(int priority, long tokens, long ageMillis) {}

  /**
   * An entry tells the others that an endpoint has read the beginning of a prompt, from where other
   * endpoints may fetch it.
   *
   * @param endpoint the endpoint's id
   * @param parts the parts that it has read, in order
   */
  record PrefixRead(String endpoint, List<ReadPart> parts) implements FleetMessage {}

  /**
   * One part of a prompt that was read.
   *
   * @param id names its content
   * @param tokens its length
   */
  record ReadPart(String id, long tokens) {}

  /**
   * How loaded a region is, told to the entries of other regions.
   *
   * @param region the region
   * @param services one element a service
   */
  record RegionLoad(String region, List<ServiceLoad> services) implements FleetMessage {}

  /**
   * How loaded a service is in a region.
   *
   * @param service the service
   * @param endpoints endpoints that take work
   * @param waitMillis the wait expected there, by priority from 0
   * @param tokenMillis how long each token of an answer takes there
   */
  record ServiceLoad(String service, int endpoints, long[] waitMillis, double tokenMillis) {}

  /**
   * What entries tell each other, gathered from one entry or from many.
   *
   * @param loads entries' work at endpoints, the later report of an entry behind the earlier
   * @param prefixes beginnings of prompts that endpoints have read
   * @param regionLoads how loaded whole regions are
   * @param quotaUsage what callers have used of the quotas of their organisations, by its name
   */
  record News(
      List<LoadReport> loads,
      List<PrefixRead> prefixes,
      List<RegionLoad> regionLoads,
      Map<String, Long> quotaUsage) {
    /** Nothing. */
    public static final News NONE = new News(List.of(), List.of(), List.of(), Map.of());

    /** News that say nothing of quotas. */
    public News(List<LoadReport> loads, List<PrefixRead> prefixes, List<RegionLoad> regionLoads) {
      this(loads, prefixes, regionLoads, Map.of());
    }

    /** Returns whether there is none. */
    public boolean isEmpty() {
      return loads.isEmpty() && prefixes.isEmpty() && regionLoads.isEmpty() && quotaUsage.isEmpty();
    }
  }

  /**
   * An entry tells the aggregator of its region its news.
   *
   * @param from the entry's name
   * @param region its region
   * @param urgent whether the others need it sooner than the next regular digest
   * @param news its news
   */
  record EntryNews(String from, String region, boolean urgent, News news) implements FleetMessage {}

  /**
   * An aggregator tells the entries of a region what it has heard since its last digest. An empty
   * one is its sign of life.
   *
   * @param from the aggregator
   * @param news the news, the receiver's own included
   */
  record NewsDigest(String from, News news) implements FleetMessage {}

  /**
   * An aggregator tells the aggregators of other regions what concerns their entries.
   *
   * @param region the region that the news is of
   * @param news prefixes and the region's load
   */
  record RemoteNews(String region, News news) implements FleetMessage {}
}
