package org.lacewingcroft.forward;

import java.util.Set;

/**
 * The names of the headers that a deployment's callers and endpoints use.
 *
 * @param requestId names a request; echoed by endpoints
 * @param deadlineMillis how long the sender waits for the answer
 * @param signature an endpoint's signature of its answer
 * @param expectInstance names the incarnation that shall run the request
 * @param notRun an endpoint's word that it did not run the request
 * @param promptParts the prompt's parts, {@code id:tokens} separated by commas
 * @param tokenUsage prompt tokens and most output tokens, separated by a comma
 * @param lengthHint the caller's estimate of the answer's tokens
 * @param priority rank of the request at the endpoint, 0 the most urgent
 * @param prefixSource address of an endpoint from which the prompt's beginning is fetched
 * @param lastEventId the last event that the sender of the request has
 * @param organisation tells an endpoint the organisation of the caller
 * @param rateLimit the requests a second that an endpoint takes from all entries together
 * @param draining {@code 1} if an endpoint leaves
 * @param reservedHeaders headers in lower case that only this system may set; callers' are dropped
 */
public record HeaderNames(
    String requestId,
    String deadlineMillis,
    String signature,
    String expectInstance,
    String notRun,
    String promptParts,
    String tokenUsage,
    String lengthHint,
    String priority,
    String prefixSource,
    String lastEventId,
    String organisation,
    String rateLimit,
    String draining,
    Set<String> reservedHeaders) {}
