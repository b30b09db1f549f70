package org.lacewingcroft.consensus;

import java.util.ArrayList;
import java.util.List;

/** What one step of a {@link ConsensusMember} asks its driver to do, in order. */
public final class Output {
  private final List<Envelope> messages = new ArrayList<>();
  private final List<LogEntry> committed = new ArrayList<>();
  private final List<Decision> decisions = new ArrayList<>();

  /**
   * A message to another member.
   *
   * @param to the member's id
   * @param message the message
   */
  public record Envelope(String to, ConsensusMessage message) {}

  /**
   * The outcome of a proposal.
   *
   * @param proposalId the ticket the driver gave with the proposal
   * @param result the outcome
   */
  public record Decision(long proposalId, ChangeResult result) {}

  void send(String to, ConsensusMessage message) {
    messages.add(new Envelope(to, message));
  }

  void commit(List<LogEntry> entries) {
    committed.addAll(entries);
  }

  void decide(long ticket, ChangeResult result) {
    decisions.add(new Decision(ticket, result));
  }

  /** Returns the messages to send. */
  public List<Envelope> messages() {
    return messages;
  }

  /** Returns the entries that this step committed, in order. */
  public List<LogEntry> committed() {
    return committed;
  }

  /** Returns the proposals decided. */
  public List<Decision> decisions() {
    return decisions;
  }
}
