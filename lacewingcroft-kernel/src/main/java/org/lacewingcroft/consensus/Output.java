package org.lacewingcroft.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * The actions that one step of a {@link ConsensusMember} requests from its driver: messages,
 * committed entries and decisions, each in order.
 */
public final class Output {
  private final List<Envelope> messages = new ArrayList<>();
  private final List<LogEntry> committed = new ArrayList<>();
  private final List<Decision> decisions = new ArrayList<>();

  /**
   * A message addressed to another member.
   *
   * @param to the member's id
   * @param message the message
   */
  public record Envelope(String to, ConsensusMessage message) {}

  /**
   * The outcome of a proposal.
   *
   * @param proposalId the id that the driver passed with the proposal
   * @param result the outcome
   */
  public record Decision(long proposalId, ChangeResult result) {}

  void send(String to, ConsensusMessage message) {
    messages.add(new Envelope(to, message));
  }

  void commit(List<LogEntry> entries) {
    committed.addAll(entries);
  }

  void decide(long proposalId, ChangeResult result) {
    decisions.add(new Decision(proposalId, result));
  }

  /** Returns the messages to send. */
  public List<Envelope> messages() {
    return messages;
  }

  /** Returns the entries that this step committed, in order. */
  public List<LogEntry> committed() {
    return committed;
  }

  /** Returns the decisions on proposals. */
  public List<Decision> decisions() {
    return decisions;
  }
}
