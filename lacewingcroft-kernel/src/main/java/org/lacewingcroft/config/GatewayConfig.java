package org.lacewingcroft.config;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * One immutable version of the operators' configuration: routing rules and organisation policies.
 *
 * <p>Versions are assigned by the control group's replicated log; a daemon applies them in
 * increasing order only, so {@link #version()} never decreases on any daemon.
 *
 * @param version the version assigned when this configuration was accepted; 0 for the built-in
 *     empty one
 * @param rules the routing rules in document order; the first rule that covers a request applies
 * @param organisations organisation policies by name
 */
public record GatewayConfig(
    long version, List<RoutingRule> rules, Map<String, OrganisationPolicy> organisations) {

  /** The configuration of a daemon that has not received any version yet. */
  public static final GatewayConfig EMPTY = new GatewayConfig(0, List.of(), Map.of());

  /** Copies the collections so that the configuration is immutable. */
  public GatewayConfig {
    rules = List.copyOf(rules);
    organisations = Map.copyOf(organisations);
  }

  /** Creates a configuration from rules and a list of policies, which are keyed by their names. */
  public static GatewayConfig of(
      long version, List<RoutingRule> rules, List<OrganisationPolicy> organisations) {
    return new GatewayConfig(
        version,
        rules,
        organisations.stream()
            .collect(Collectors.toMap(OrganisationPolicy::name, Function.identity())));
  }

  /** Returns the same configuration with another version number. */
  public GatewayConfig withVersion(long newVersion) {
    return new GatewayConfig(newVersion, rules, organisations);
  }

  /** Returns the configuration with a patch applied and a new version number. */
  public GatewayConfig patched(ConfigPatch patch, long newVersion) {
    Map<String, RoutingRule> patchedRules = new LinkedHashMap<>();
    rules.forEach(r -> patchedRules.put(r.name(), r));
    patch.removedSelectors().forEach(patchedRules::remove);
    patch.additions().rules().forEach(r -> patchedRules.put(r.name(), r));
    Map<String, OrganisationPolicy> patchedOrganisations = new HashMap<>(organisations);
    patch.removedOrganisations().forEach(patchedOrganisations::remove);
    patchedOrganisations.putAll(patch.additions().organisations());
    return new GatewayConfig(newVersion, List.copyOf(patchedRules.values()), patchedOrganisations);
  }

  /** Returns the first rule that covers the request, if any. */
  public Optional<RoutingRule> ruleFor(String organisation, String model, String priority) {
    return rules.stream().filter(r -> r.work().covers(organisation, model, priority)).findFirst();
  }

  /** Returns whether any rule lists the model, so that callers may expect it to be served. */
  public boolean namesModel(String model) {
    return rules.stream().anyMatch(r -> r.work().models().contains(model));
  }

  /** Returns the policy of the organisation, if the document contains one. */
  public Optional<OrganisationPolicy> organisation(String name) {
    return Optional.ofNullable(organisations.get(name));
  }
}
