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

  private final EmptyResponseCache emptyResponses = new EmptyResponseCache();

  /**
   * Creates the service of one term.
   *
   * @param dueWork run after a heartbeat was applied and before the response is sent
   */
  HeartbeatService(LeaderTerm term, Cluster cluster, Runnable dueWork) {
    this.term = term;
    this.cluster = cluster;
    this.dueWork = dueWork;
  }

  /**
   * Handles a heartbeat.
   *
   * @return the body of the response; null if this controller may not respond as the leader at this
   *     moment, or if the machine no longer exists
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
    byte[] response = encode(machine, heartbeat, commands);
    dueWork.run();
    return response;
  }

  private byte[] encode(Machine machine, Heartbeat heartbeat, List<Command> commands) {
    if (commands.isEmpty()) {
      return emptyResponses.body(machine.fencingToken());
    }
    LOG.debug(
        "Commands in response to heartbeat: machine={} commands={} token={} epoch={} sequence={}",
        machine.id(),
        commands,
        machine.fencingToken(),
        heartbeat.epoch(),
        heartbeat.sequence());
    return new CommandMessage(machine.fencingToken(), commands).toHeartbeatResponse();
  }
}
