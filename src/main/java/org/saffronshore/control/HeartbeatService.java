package org.saffronshore.control;

import java.util.List;
import org.jspecify.annotations.NullMarked;
import org.jspecify.annotations.Nullable;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.Machine;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.CommandMessage;
import org.saffronshore.wire.Heartbeat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Handles the heartbeats of workers as the leader. */
@NullMarked
final class HeartbeatService {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatService.class);

  private final LeaderTerm term;
  private final Cluster cluster;
  private final Runnable dueWork;

  /** The body of a response with the term's first fencing token and without commands. */
  private final byte[] emptyResponse;

  /**
   * Creates the service of one term.
   *
   * @param dueWork run after a heartbeat was applied and before the response is sent
   */
  HeartbeatService(LeaderTerm term, Cluster cluster, Runnable dueWork) {
    this.term = term;
    this.cluster = cluster;
    this.dueWork = dueWork;
    this.emptyResponse = new CommandMessage(term.number(), List.of()).toHeartbeatResponse();
  }

  /**
   * Handles a heartbeat.
   *
   * @return the body of the response; null if this controller may not respond as the leader at this
   *     moment, or if the machine was removed
   */
  byte @Nullable [] handle(Heartbeat heartbeat) {
    if (term.stepDownIfSuperseded(heartbeat.machine(), heartbeat.fencingToken())) {
      return null;
    }
    term.detectPause();
    if (!term.isActive()) {
      return null;
    }
    Machine machine = cluster.heartbeatReceived(heartbeat);
    if (machine == null) {
      return null;
    }
    List<Command> commands = cluster.responseCommands(machine);
    CommandMessage response = new CommandMessage(machine.fencingToken(), commands);
    if (!commands.isEmpty()) {
      LOG.debug(
          "Commands in response to heartbeat: machine={} commands={} token={} epoch={} sequence={}",
          machine.id(),
          commands,
          response.fencingToken(),
          heartbeat.epoch(),
          heartbeat.sequence());
    }
    dueWork.run();
    if (commands.isEmpty() && response.fencingToken() == term.number()) {
      return emptyResponse;
    }
    return response.toHeartbeatResponse();
  }
}
