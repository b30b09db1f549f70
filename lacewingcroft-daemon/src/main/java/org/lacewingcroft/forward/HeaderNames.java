package org.lacewingcroft.forward;

import java.util.Set;

/**
 * The names of the headers that a deployment's callers and endpoints use.
 *
 * @param requestId the request id, echoed by endpoints
 * @param deadlineMillis how long the sender waits for the response, in milliseconds
 * @param signature the endpoint's signature of its response
 * @param expectInstance the endpoint incarnation that has to run the request
 * @param notRun set by an endpoint on a response to a request that it did not run
 * @param promptParts the parts of the prompt, {@code id:tokens} separated by commas
 * @param tokenUsage prompt tokens and maximum output tokens, separated by a comma
 * @param lengthHint the caller's estimate of the output tokens
 * @param priority the priority of the request at the endpoint, 0 is the most urgent
 * @param prefixSource the address of the endpoint from which the KV cache of a prefix is fetched
 * @param lastEventId the id of the last event that the sender of the request has received
 * @param organisation the caller's organisation, sent to endpoints
 * @param rateLimit the requests per second that an endpoint accepts from all entries together
 * @param draining {@code 1} in the responses of an endpoint that is draining
 * @param endpointLoad the load of the endpoint that sends the response: running requests, waiting
 *     requests, slots, and optionally the pace in percent, separated by commas
 * @param instanceId the id of the endpoint that sends a response to a health check
 * @param warmUpMillis in a response to a health check, how long the endpoint stays cold, in
 *     milliseconds
 * @param reservedHeaders headers in lower case that only entries may set; dropped from callers'
 *     requests
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
    String endpointLoad,
    String instanceId,
    String warmUpMillis,
    Set<String> reservedHeaders) {}
