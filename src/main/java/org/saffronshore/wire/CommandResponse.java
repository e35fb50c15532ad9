package org.saffronshore.wire;

import org.jspecify.annotations.Nullable;

/**
 * A worker's response to a direct command, which has the form of a heartbeat.
 *
 * @param heartbeat the worker's status; null if and only if the outcome is {@link Outcome#UNKNOWN}
 */
public record CommandResponse(Outcome outcome, @Nullable Heartbeat heartbeat) {
  /** A missing or inconclusive response: the commands may have been or may yet be carried out. */
  public static final CommandResponse UNKNOWN = new CommandResponse(Outcome.UNKNOWN, null);

  private static final int STATUS_EXECUTED = 200;
  private static final int STATUS_REJECTED = 409;

  /** The outcome of the commands. */
  public enum Outcome {
    EXECUTED,
    /**
     * The worker has seen a larger fencing token or is in another epoch: no command took effect.
     */
    REJECTED,
    UNKNOWN
  }

  /**
   * Reads a response.
   *
   * @param status the HTTP status, or less than 100 when there was no response
   * @throws InvalidFieldException if the status is one that comes with a heartbeat, and the body is
   *     not a valid heartbeat
   */
  public static CommandResponse parse(int status, byte[] body) throws InvalidFieldException {
    return switch (status) {
      case STATUS_EXECUTED -> new CommandResponse(Outcome.EXECUTED, Heartbeat.parse(body));
      case STATUS_REJECTED -> new CommandResponse(Outcome.REJECTED, Heartbeat.parse(body));
      default -> UNKNOWN;
    };
  }
}
