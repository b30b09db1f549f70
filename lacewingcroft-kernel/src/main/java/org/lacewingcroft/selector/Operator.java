package org.lacewingcroft.selector;

import java.util.Arrays;
import java.util.Optional;

/**
 * The set-based operators of a label selector requirement, with the spelling that Kubernetes uses.
 */
public enum Operator {
  /** The label is present and its value is one of the listed values. */
  IN("In"),
  /** The label is absent, or its value is none of the listed values. */
  NOT_IN("NotIn"),
  /** The label is present with any value. */
  EXISTS("Exists"),
  /** The label is absent. */
  DOES_NOT_EXIST("DoesNotExist");

  private final String spelling;

  Operator(String spelling) {
    this.spelling = spelling;
  }

  /** Returns the operator as written in a selector document, such as {@code NotIn}. */
  public String spelling() {
    return spelling;
  }

  /**
   * Returns whether the operator requires a non-empty list of values; the others allow no values.
   */
  public boolean requiresValues() {
    return this == IN || this == NOT_IN;
  }

  /** Returns the operator with this document spelling; empty for an unknown operator. */
  public static Optional<Operator> parse(String spelling) {
    return Arrays.stream(values()).filter(o -> o.spelling.equals(spelling)).findFirst();
  }
}
