package org.lacewingcroft.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The source of one configuration version: the YAML as an operator sent it, or the result of
 * applying {@link ConfigPatch}es, for which the YAML is generated only on first use. Immutable.
 */
public final class ConfigDocument {
  /** A document without selectors and organisations. */
  public static final ConfigDocument EMPTY = new ConfigDocument("");

  static final String SELECTORS = "selectors";
  static final String ORGANISATIONS = "organisations";

  private Optional<String> text;
  private Optional<Parts> parts;

  private record Parts(Map<String, JsonNode> selectors, Map<String, JsonNode> organisations) {}

  /** Creates a document from its YAML, which is parsed when a patch is first applied to it. */
  public ConfigDocument(String text) {
    this.text = Optional.of(text);
    this.parts = Optional.empty();
  }

  private ConfigDocument(Parts parts) {
    this.text = Optional.empty();
    this.parts = Optional.of(parts);
  }

  /** Returns the document with a patch applied. */
  public ConfigDocument patched(ConfigPatch patch) {
    Map<String, JsonNode> selectors = new LinkedHashMap<>(parts().selectors());
    Map<String, JsonNode> organisations = new LinkedHashMap<>(parts().organisations());
    patch.removedSelectors().forEach(selectors::remove);
    patch.removedOrganisations().forEach(organisations::remove);
    selectors.putAll(patch.selectors());
    organisations.putAll(patch.organisations());
    return new ConfigDocument(new Parts(selectors, organisations));
  }

  /** Returns the YAML. */
  public synchronized String text() {
    if (text.isEmpty()) {
      text = Optional.of(write(parts.orElseThrow()));
    }
    return text.get();
  }

  private synchronized Parts parts() {
    if (parts.isEmpty()) {
      JsonNode root = ConfigParser.tree(text.orElseThrow());
      parts =
          Optional.of(
              new Parts(
                  ConfigPatch.byName(root.path(SELECTORS)),
                  ConfigPatch.byName(root.path(ORGANISATIONS))));
    }
    return parts.get();
  }

  private static String write(Parts parts) {
    ObjectNode root = ConfigParser.newTree();
    root.putArray(SELECTORS).addAll(List.copyOf(parts.selectors().values()));
    root.putArray(ORGANISATIONS).addAll(List.copyOf(parts.organisations().values()));
    return ConfigParser.write(root);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ConfigDocument d && d.text().equals(text());
  }

  @Override
  public int hashCode() {
    return text().hashCode();
  }

  @Override
  public String toString() {
    return text();
  }
}
