package org.saffronshore.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * A message from the leader to a worker: the response to a heartbeat, or a direct command.
 *
 * @param fencingToken a fencing token of the leader's term; a worker rejects a token smaller than
 *     the largest it has seen
 * @param commands the commands, in the order in which the worker carries them out
 */
public record CommandMessage(long fencingToken, List<Command> commands) {
  private static final String FENCING_TOKEN_FIELD = "Baton";
  private static final String EPOCH_FIELD = "Shift";

  /** Returns the body of a response to a heartbeat. */
  public byte[] toHeartbeatResponse() {
    return Json.bytes(toJson());
  }

  /**
   * Returns the body of a direct command.
   *
   * @param epoch the epoch that the command is for; a worker in any other epoch rejects it
   */
  public byte[] toDirectCommand(long epoch) {
    return Json.bytes(toJson().put(EPOCH_FIELD, epoch));
  }

  private ObjectNode toJson() {
    ObjectNode message = Json.object().put(FENCING_TOKEN_FIELD, fencingToken);
    Command.write(message, commands);
    return message;
  }
}
