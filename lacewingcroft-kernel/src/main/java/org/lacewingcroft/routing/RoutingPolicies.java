package org.lacewingcroft.routing;

import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.stream.Collectors;

/** Finds the {@link RoutingPolicy} plug-ins registered through {@link ServiceLoader}. */
public final class RoutingPolicies {
  private RoutingPolicies() {}

  /** Returns all registered policies. */
  public static List<RoutingPolicy> all() {
    return ServiceLoader.load(RoutingPolicy.class).stream()
        .map(ServiceLoader.Provider::get)
        .collect(Collectors.toList());
  }

  /** Returns the policy with this name; empty if none is registered under it. */
  public static Optional<RoutingPolicy> named(String name) {
    return all().stream().filter(p -> p.name().equals(name)).findFirst();
  }

  /** Returns the names of all registered policies, for error messages. */
  public static List<String> names() {
    return all().stream().map(RoutingPolicy::name).collect(Collectors.toList());
  }
}
