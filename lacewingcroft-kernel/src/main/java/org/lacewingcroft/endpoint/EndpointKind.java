package org.lacewingcroft.endpoint;

/** The kind of back end that an endpoint runs. */
public enum EndpointKind {
  /** A model engine that serves an OpenAI-compatible chat completion API. */
  ENGINE,
  /** A plain HTTP service, such as a dispatch application or an order desk. */
  SERVICE
}
