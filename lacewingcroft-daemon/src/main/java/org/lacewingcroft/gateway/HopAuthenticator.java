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
 * Marks requests that one entry passes to another, so that the receiver neither passes them on
 * again nor lets a caller pretend to be an entry: the mark carries an HMAC-SHA256 tag keyed by the
 * deployment's secret.
 */
public final class HopAuthenticator {
  /** Header marking a request relayed to its idempotency key's owner in the same region. */
  public static final String OWNER_HOP_HEADER = "X-Lacewingcroft-Owner-Hop";

  /** Header carrying the tag of a hop. */
  public static final String TAG_HEADER = "X-Lacewingcroft-Hop-Tag";

  private final HmacUtils hmac;

  /** Which hop a request has made. */
  public enum Hop {
    /** It came from a caller. */
    NONE(""),
    /** Another entry of this region relayed it to the owner of its key. */
    TO_OWNER(OWNER_HOP_HEADER),
    /** An entry of another region forwarded it. */
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
   * Marks a request to be sent to another entry.
   *
   * @param hop the hop it makes
   * @param from this entry's region, or node id for a hop to an owner
   * @param requestId the request's id
   * @param headers takes the headers to set, by name and value
   */
  public void mark(
      Hop hop,
      String from,
      String requestId,
      java.util.function.BiConsumer<String, String> headers) {
    headers.accept(hop.header, from);
    headers.accept(TAG_HEADER, tag(hop, from, requestId));
  }

  /**
   * Returns the hop a received request has made.
   *
   * @param headers looks up a header; null when absent
   * @param requestId the request's id
   * @throws GatewayException of kind {@link ErrorKind#UNAUTHENTICATED} if a mark's tag is wrong
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
    byte[] given = tag.orElse("").getBytes(StandardCharsets.UTF_8);
    if (!MessageDigest.isEqual(expected, given)) {
      throw new GatewayException(
          ErrorKind.UNAUTHENTICATED, "header " + hop.header + " carries no valid tag of an entry");
    }
  }

  private String tag(Hop hop, String from, String requestId) {
    return hmac.hmacHex(hop + "\n" + from + "\n" + requestId);
  }
}
