package org.lacewingcroft.endpoint;

/** What sort of back end an endpoint is. */
public enum EndpointKind {
  /** A model engine serving an OpenAI-compatible chat completion API. */
  ENGINE,
  /** A plain HTTP service, such as a dispatch application or an order desk. */
  SERVICE
}
