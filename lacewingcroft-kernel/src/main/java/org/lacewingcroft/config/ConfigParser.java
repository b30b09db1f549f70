package org.lacewingcroft.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.exc.StreamReadException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import org.lacewingcroft.error.ErrorKind;
import org.lacewingcroft.error.GatewayException;
import org.lacewingcroft.selector.LabelSelector;
import org.lacewingcroft.selector.Operator;
import org.lacewingcroft.selector.Requirement;
import org.yaml.snakeyaml.LoaderOptions;

/**
 * Parses the operators' YAML document into a {@link GatewayConfig}.
 *
 * <p>The document has the shape:
 *
 * <pre>
 * selectors:
 *   - name: writers
 *     work: {organisations: [puhdas-seina], models: [writer], priorities: [normal]}
 *     endpoints:
 *       matchLabels: {service: writers}
 *       matchExpressions: [{key: tier, operator: In, values: [gpu]}]
 *     regions: [uusimaa, pirkanmaa]
 * organisations:
 *   - {name: puhdas-seina, residency: [uusimaa, pirkanmaa], requestsPerSecond: 50}
 * </pre>
 *
 * <p>Unknown keys, unknown operators and duplicate names are rejected with a {@link
 * GatewayException} of kind {@link ErrorKind#INVALID_CONFIGURATION} that names the key.
 */
public final class ConfigParser {
  private static final ObjectMapper YAML =
      new ObjectMapper(YAMLFactory.builder().loaderOptions(loaderOptions()).build())
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

  private static final int MAX_DOCUMENT_CODE_POINTS = 64 * 1024 * 1024;

  private ConfigParser() {}

  private static LoaderOptions loaderOptions() {
    LoaderOptions options = new LoaderOptions();
    options.setCodePointLimit(MAX_DOCUMENT_CODE_POINTS);
    return options;
  }

  /**
   * Parses a document; the result has version 0 until the control group assigns one.
   *
   * @param yaml the document text
   * @return the configuration
   * @throws GatewayException of kind {@link ErrorKind#INVALID_CONFIGURATION} on any error
   */
  public static GatewayConfig parse(String yaml) {
    return readConfig(() -> YAML.readValue(yaml, Document.class));
  }

  /** Converts a document tree to a configuration. */
  static GatewayConfig parse(JsonNode tree) {
    return readConfig(() -> YAML.treeToValue(tree, Document.class));
  }

  /**
   * Parses a document to a tree without checking its keys; an empty text results in an empty tree.
   */
  static JsonNode tree(String yaml) {
    try {
      return YAML.readTree(yaml);
    } catch (IOException e) {
      throw invalid("the document is not valid YAML: " + e.getMessage());
    }
  }

  static ObjectNode newTree() {
    return YAML.createObjectNode();
  }

  static String write(ObjectNode tree) {
    try {
      return YAML.writeValueAsString(tree);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot write the document as YAML", e);
    }
  }

  private interface DocumentReader {
    Document read() throws IOException;
  }

  private static GatewayConfig readConfig(DocumentReader reader) {
    Document document;
    try {
      document = reader.read();
    } catch (UnrecognizedPropertyException e) {
      throw invalid(
          "unknown key '"
              + e.getPropertyName()
              + "' at "
              + path(e)
              + "; known keys: "
              + e.getKnownPropertyIds());
    } catch (JsonMappingException e) {
      if (e.getCause() instanceof StreamReadException syntax) {
        throw invalid("the document is not valid YAML: " + syntax.getOriginalMessage());
      }
      throw invalid("bad value at " + path(e) + ": " + e.getOriginalMessage());
    } catch (IOException e) {
      throw invalid("the document is not valid YAML: " + e.getMessage());
    }
    if (document == null) {
      return GatewayConfig.EMPTY;
    }
    return toConfig(document);
  }

  private static GatewayConfig toConfig(Document document) {
    List<RoutingRule> rules = new ArrayList<>();
    Set<String> names = new java.util.HashSet<>();
    for (SelectorDoc s : nonNull(document.selectors)) {
      if (s.name == null || s.name.isBlank()) {
        throw invalid("a selector has no 'name'");
      }
      if (!names.add(s.name)) {
        throw invalid("selector name '" + s.name + "' appears twice");
      }
      WorkDoc w = s.work == null ? new WorkDoc() : s.work;
      rules.add(
          new RoutingRule(
              s.name,
              new WorkMatch(set(w.organisations), set(w.models), set(w.priorities)),
              selector(s.name, s.endpoints),
              set(s.regions)));
    }
    List<OrganisationPolicy> organisations = new ArrayList<>();
    Set<String> organisationNames = new java.util.HashSet<>();
    for (OrganisationDoc o : nonNull(document.organisations)) {
      if (o.name == null || o.name.isBlank()) {
        throw invalid("an organisation has no 'name'");
      }
      if (!organisationNames.add(o.name)) {
        throw invalid("organisation '" + o.name + "' appears twice");
      }
      if (o.requestsPerSecond < 0) {
        throw invalid("organisation '" + o.name + "' has a negative requestsPerSecond");
      }
      organisations.add(new OrganisationPolicy(o.name, set(o.residency), o.requestsPerSecond));
    }
    return GatewayConfig.of(0, rules, organisations);
  }

  private static LabelSelector selector(String rule, SelectorBodyDoc body) {
    if (body == null) {
      return LabelSelector.EVERYTHING;
    }
    List<Requirement> requirements = new ArrayList<>();
    for (RequirementDoc r : nonNull(body.matchExpressions)) {
      Operator operator =
          Operator.parse(Objects.requireNonNullElse(r.operator, ""))
              .orElseThrow(
                  () ->
                      invalid(
                          "selector '"
                              + rule
                              + "' has unknown operator '"
                              + r.operator
                              + "'; use In, NotIn, Exists or DoesNotExist"));
      requirements.add(new Requirement(r.key, operator, set(r.values)));
    }
    Map<String, String> labels = body.matchLabels == null ? Map.of() : body.matchLabels;
    return new LabelSelector(labels, requirements);
  }

  private static GatewayException invalid(String detail) {
    return new GatewayException(ErrorKind.INVALID_CONFIGURATION, detail);
  }

  private static String path(JsonMappingException e) {
    String p =
        e.getPath().stream()
            .map(r -> r.getFieldName() != null ? r.getFieldName() : "[" + r.getIndex() + "]")
            .collect(Collectors.joining("."));
    return p.isEmpty() ? "the top level" : p;
  }

  private static <T> List<T> nonNull(List<T> list) {
    return list == null ? List.of() : list;
  }

  private static Set<String> set(List<String> list) {
    return list == null ? Set.of() : Set.copyOf(list);
  }

  /** The top level of the document, bound by Jackson. */
  static final class Document {
    @JsonProperty public List<SelectorDoc> selectors;
    @JsonProperty public List<OrganisationDoc> organisations;
  }

  /** One entry under {@code selectors}. */
  static final class SelectorDoc {
    @JsonProperty public String name;
    @JsonProperty public WorkDoc work;
    @JsonProperty public SelectorBodyDoc endpoints;
    @JsonProperty public List<String> regions;
  }

  /** The {@code work} part of a selector. */
  static final class WorkDoc {
    @JsonProperty public List<String> organisations;
    @JsonProperty public List<String> models;
    @JsonProperty public List<String> priorities;
  }

  /** The {@code endpoints} label selector of a selector. */
  static final class SelectorBodyDoc {
    @JsonProperty public Map<String, String> matchLabels;
    @JsonProperty public List<RequirementDoc> matchExpressions;
  }

  /** One {@code matchExpressions} entry. */
  static final class RequirementDoc {
    @JsonProperty public String key;
    @JsonProperty public String operator;
    @JsonProperty public List<String> values;
  }

  /** One entry under {@code organisations}. */
  static final class OrganisationDoc {
    @JsonProperty public String name;
    @JsonProperty public List<String> residency;
    @JsonProperty public int requestsPerSecond;
  }
}
