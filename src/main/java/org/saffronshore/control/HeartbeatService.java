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

/** Takes the heartbeats of workers, and responds to them for the controllers. */
@NullMarked
final class HeartbeatService {
  private final LeaderTerm term;
  private final Cluster cluster;
  private final Runnable dueWork;

  /** The body of a response without commands, which most are. */
  private final byte[] emptyResponse;

  /**
   * Creates the service of one term.
   *
   * @param dueWork is run after a heartbeat, before the response
   */
  HeartbeatService(LeaderTerm term, Cluster cluster, Runnable dueWork) {
    this.term = term;
    this.cluster = cluster;
    this.dueWork = dueWork;
    this.emptyResponse = new CommandMessage(term.number(), List.of()).toHeartbeatResponse();
  }

  /**
   * Takes a heartbeat.
   *
   * @return the body of the response; null when this controller may not respond for the controllers
   *     now
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
    dueWork.run();
    return commands.isEmpty()
        ? emptyResponse
        : new CommandMessage(term.number(), commands).toHeartbeatResponse();
  }
}
