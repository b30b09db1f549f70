package org.lacewingcroft.selector;

import java.util.Map;
import java.util.Set;
import org.lacewingcroft.error.ErrorKind;
import org.lacewingcroft.error.GatewayException;

/**
 * A {@code matchExpressions} entry of a {@link LabelSelector}: a key, an operator and values.
 *
 * @param key the label key
 * @param operator how the label's value is compared
 * @param values the values for {@link Operator#IN} and {@link Operator#NOT_IN}; empty otherwise
 */
public record Requirement(String key, Operator operator, Set<String> values) {

  /**
   * Creates a requirement and validates its key and values.
   *
   * @throws GatewayException of kind {@link ErrorKind#INVALID_CONFIGURATION} if the key is missing
   *     or empty, if the operator requires values and none are given, or if it allows none and some
   *     are given
   */
  public Requirement {
    values = Set.copyOf(values);
    if (key == null || key.isEmpty()) {
      throw new GatewayException(ErrorKind.INVALID_CONFIGURATION, "a requirement has no key");
    }
    if (operator.requiresValues() && values.isEmpty()) {
      throw new GatewayException(
          ErrorKind.INVALID_CONFIGURATION,
          "operator " + operator.spelling() + " on key '" + key + "' needs at least one value");
    }
    if (!operator.requiresValues() && !values.isEmpty()) {
      throw new GatewayException(
          ErrorKind.INVALID_CONFIGURATION,
          "operator " + operator.spelling() + " on key '" + key + "' takes no values");
    }
  }

  /** Returns whether the labels satisfy this requirement. */
  public boolean matches(Map<String, String> labels) {
    String value = labels.get(key);
    return switch (operator) {
      case IN -> value != null && values.contains(value);
      case NOT_IN -> value == null || !values.contains(value);
      case EXISTS -> value != null;
      case DOES_NOT_EXIST -> value == null;
    };
  }
}
