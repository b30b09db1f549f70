package org.lacewingcroft.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lacewingcroft.error.ErrorKind;
import org.lacewingcroft.error.GatewayException;

/**
 * An operator's change of individual selectors and organisations. Its cost depends on the size of
 * the change, not on the size of the whole configuration.
 *
 * <p>The YAML has the shape of a whole document; its selectors and organisations are added, or
 * replace those of the same name. The names listed under {@code remove} are removed:
 *
 * <pre>
 * organisations:
 *   - {name: puhdas-seina, residency: [uusimaa], requestsPerSecond: 50}
 * remove: {selectors: [old-writers], organisations: []}
 * </pre>
 */
public final class ConfigPatch {
  private static final String REMOVE = "remove";

  private final String text;
  private final GatewayConfig additions;
  private final Map<String, JsonNode> selectors;
  private final Map<String, JsonNode> organisations;
  private final List<String> removedSelectors;
  private final List<String> removedOrganisations;

  private ConfigPatch(String text, ObjectNode root, JsonNode removed) {
    this.text = text;
    this.additions = ConfigParser.parse(root);
    this.selectors = byName(root.path(ConfigDocument.SELECTORS));
    this.organisations = byName(root.path(ConfigDocument.ORGANISATIONS));
    this.removedSelectors = names(removed.path(ConfigDocument.SELECTORS));
    this.removedOrganisations = names(removed.path(ConfigDocument.ORGANISATIONS));
  }

  /**
   * Parses a patch.
   *
   * @throws GatewayException of kind {@link ErrorKind#INVALID_CONFIGURATION} on any error
   */
  public static ConfigPatch parse(String yaml) {
    if (!(ConfigParser.tree(yaml) instanceof ObjectNode root)) {
      throw new GatewayException(ErrorKind.INVALID_CONFIGURATION, "a patch must be a YAML mapping");
    }
    JsonNode removed = root.path(REMOVE);
    root.remove(REMOVE);
    removed
        .fieldNames()
        .forEachRemaining(
            key -> {
              if (!key.equals(ConfigDocument.SELECTORS)
                  && !key.equals(ConfigDocument.ORGANISATIONS)) {
                throw new GatewayException(
                    ErrorKind.INVALID_CONFIGURATION, "unknown key '" + key + "' under remove");
              }
            });
    return new ConfigPatch(yaml, root, removed);
  }

  static Map<String, JsonNode> byName(JsonNode items) {
    Map<String, JsonNode> named = new LinkedHashMap<>();
    items.forEach(item -> named.put(item.path("name").asText(), item));
    return named;
  }

  private static List<String> names(JsonNode list) {
    List<String> names = new ArrayList<>();
    list.forEach(n -> names.add(n.asText()));
    return names;
  }

  /** Returns the YAML that the patch was parsed from. */
  public String text() {
    return text;
  }

  /** Returns the rules and policies that the patch adds or replaces. */
  GatewayConfig additions() {
    return additions;
  }

  Map<String, JsonNode> selectors() {
    return selectors;
  }

  Map<String, JsonNode> organisations() {
    return organisations;
  }

  List<String> removedSelectors() {
    return removedSelectors;
  }

  List<String> removedOrganisations() {
    return removedOrganisations;
  }
}
