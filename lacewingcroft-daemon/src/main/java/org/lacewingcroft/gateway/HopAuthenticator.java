package org.lacewingcroft.gateway;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import java.util.function.Function;
import org.apache.commons.codec.digest.HmacAlgorithms;
import org.apache.commons.codec.digest.HmacUtils;
import org.lacewingcroft.error.ErrorKind;
import org.lacewingcroft.error.GatewayException;
import org.lacewingcroft.request.CallerRequest;

/**
 * Signs requests that one entry relays to another, and verifies the hop marks of received requests.
 * The hop mark prevents the receiver from relaying a request again. It carries an HMAC-SHA256 tag
 * keyed by the deployment's secret, so that a caller cannot impersonate an entry.
 */
public final class HopAuthenticator {
  /** Header marking a request relayed to its idempotency key's owner in the same region. */
  public static final String OWNER_HOP_HEADER = "X-Lacewingcroft-Owner-Hop";

  /** Header carrying the tag that authenticates a hop's mark. */
  public static final String TAG_HEADER = "X-Lacewingcroft-Hop-Tag";

  private final HmacUtils hmac;

  /** The hop by which a request reached an entry. */
  public enum Hop {
    /** The request came directly from a caller. */
    NONE(""),
    /** Another entry of the same region relayed the request to the owner of its key. */
    TO_OWNER(OWNER_HOP_HEADER),
    /** Another entry forwarded the request, which must then run in the region of this one. */
    ACROSS_REGIONS(CallerRequest.FORWARDED_HEADER);

    private final String header;

    Hop(String header) {
      this.header = header;
    }
  }

  /** Creates an authenticator keyed by the deployment's secret. */
  public HopAuthenticator(byte[] secret) {
    this.hmac = new HmacUtils(HmacAlgorithms.HMAC_SHA_256, secret);
  }

  /**
   * Signs a request to be sent to another entry: sets its hop mark and the tag of the mark.
   *
   * @param hop the hop by which the request is sent
   * @param from this entry's region, or its node id for a hop to a key's owner
   * @param requestId the request's id
   * @param headers receives the name and value of each header to set
   */
  public void sign(
      Hop hop,
      String from,
      String requestId,
      java.util.function.BiConsumer<String, String> headers) {
    headers.accept(hop.header, from);
    headers.accept(TAG_HEADER, tag(hop, from, requestId));
  }

  /**
   * Verifies the mark of a received request and returns the hop by which the request arrived.
   *
   * @param headers looks up a header by name; returns null if the header is absent
   * @param requestId the request's id
   * @throws GatewayException of kind {@link ErrorKind#UNAUTHENTICATED} if a mark's tag is missing
   *     or wrong
   */
  public Hop verify(Function<String, String> headers, String requestId) {
    for (Hop hop : new Hop[] {Hop.ACROSS_REGIONS, Hop.TO_OWNER}) {
      String from = headers.apply(hop.header);
      if (from != null) {
        requireTag(hop, from, requestId, Optional.ofNullable(headers.apply(TAG_HEADER)));
        return hop;
      }
    }
    return Hop.NONE;
  }

  private void requireTag(Hop hop, String from, String requestId, Optional<String> tag) {
    byte[] expected = tag(hop, from, requestId).getBytes(StandardCharsets.UTF_8);
    byte[] received = tag.orElse("").getBytes(StandardCharsets.UTF_8);
    if (!MessageDigest.isEqual(expected, received)) {
      throw new GatewayException(
          ErrorKind.UNAUTHENTICATED, "header " + hop.header + " carries no valid tag of an entry");
    }
  }

  private String tag(Hop hop, String from, String requestId) {
    return hmac.hmacHex(hop + "\n" + from + "\n" + requestId);
  }
}
