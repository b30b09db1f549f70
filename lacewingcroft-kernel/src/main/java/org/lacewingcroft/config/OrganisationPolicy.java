package org.lacewingcroft.config;

import java.util.Set;

/**
 * The policy for the callers of one organisation (tenant).
 *
 * @param name the organisation's name, as callers send it in {@code X-Organisation}
 * @param residency the regions where its requests may be served; empty means any region
 * @param requestsPerSecond admission limit for the organisation at each entry daemon; 0 means
 *     unlimited
 */
public record OrganisationPolicy(String name, Set<String> residency, int requestsPerSecond) {

  /** Copies the residency so that the policy is immutable. */
  public OrganisationPolicy {
    residency = Set.copyOf(residency);
  }
}
