package org.saffronshore.control;

import java.util.Objects;
import org.jspecify.annotations.NullMarked;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.CommandBatch;
import org.saffronshore.cluster.DeliveryOutcome;
import org.saffronshore.cluster.Machine;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Client;
import org.saffronshore.http.Response;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.wire.CommandMessage;
import org.saffronshore.wire.CommandResponse;
import org.saffronshore.wire.Heartbeat;
import org.saffronshore.wire.InvalidFieldException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends direct commands to workers, with a limited number in flight, and handles the responses. */
@NullMarked
final class CommandSender {
  private static final Logger LOG = LoggerFactory.getLogger(CommandSender.class);
  private static final String COMMAND_PATH = "/do";

  /**
   * The number of sockets of this process per command in flight, so that a burst of launches does
   * not use up the connections.
   */
  private static final int SOCKETS_PER_COMMAND_IN_FLIGHT = 8;

  private static final int MIN_COMMANDS_IN_FLIGHT = 4;

  private final Client client;
  private final LeaderTerm term;
  private final Cluster cluster;
  private final Runnable dueWork;
  private final int maxInFlight;
  private final double commandTimeoutS;
  private final double probeTimeoutS;
  private int inFlight;

  /**
   * Creates the sender of one term.
   *
   * @param dueWork run after the response to a batch, which may have made commands, records or a
   *     scheduling cycle due
   */
  CommandSender(
      Settings settings, Client client, LeaderTerm term, Cluster cluster, Runnable dueWork) {
    this.client = client;
    this.term = term;
    this.cluster = cluster;
    this.dueWork = dueWork;
    this.maxInFlight =
        Math.max(MIN_COMMANDS_IN_FLIGHT, settings.maxSockets() / SOCKETS_PER_COMMAND_IN_FLIGHT);
    this.commandTimeoutS = settings.heartbeatIntervalS() * 4 / 3;
    this.probeTimeoutS = settings.heartbeatIntervalS() / 3;
  }

  /** Sends the commands that are due, up to the limit of commands in flight. */
  void sendDue() {
    // Checks the term before each batch, since this controller may no longer act after a pause of
    // its process.
    while (inFlight < maxInFlight && term.isActive()) {
      Machine machine = cluster.nextMachineWithCommands();
      if (machine == null) {
        return;
      }
      CommandBatch batch = cluster.nextBatch(machine);
      if (batch != null) {
        inFlight++;
        send(batch);
      }
    }
  }

  private void send(CommandBatch batch) {
    LOG.debug(
        "Sending commands: machine={} commands={} term={} token={} epoch={}",
        batch.machine().id(),
        batch.commands(),
        term.number(),
        batch.fencingToken(),
        batch.epoch());
    // A probe, which contains no commands, has a shorter timeout. Otherwise probes would delay
    // launches when many machines do not respond.
    client.send(
        Objects.requireNonNull(batch.machine().address(), "address of a machine that has commands"),
        "POST",
        COMMAND_PATH,
        new CommandMessage(batch.fencingToken(), batch.commands()).toDirectCommand(batch.epoch()),
        batch.commands().isEmpty() ? probeTimeoutS : commandTimeoutS,
        response -> handleResponse(batch, response));
  }

  private void handleResponse(CommandBatch batch, Response response) {
    inFlight--;
    CommandResponse result = parse(batch, response);
    if (term.hasEnded()) {
      return;
    }
    Heartbeat heartbeat = result.heartbeat();
    if (heartbeat != null
        && term.stepDownIfSuperseded(heartbeat.machine(), heartbeat.fencingToken())) {
      return;
    }
    cluster.batchCompleted(batch, deliveryOutcome(response, result), heartbeat);
    dueWork.run();
  }

  private static DeliveryOutcome deliveryOutcome(Response response, CommandResponse result) {
    if (response.isNotSent()) {
      return DeliveryOutcome.NOT_EXECUTED;
    }
    return switch (result.outcome()) {
      case EXECUTED -> DeliveryOutcome.EXECUTED;
      case REJECTED -> DeliveryOutcome.NOT_EXECUTED;
      case UNKNOWN -> DeliveryOutcome.UNKNOWN;
    };
  }

  private static CommandResponse parse(CommandBatch batch, Response response) {
    try {
      return CommandResponse.parse(response.status(), response.body());
    } catch (InvalidFieldException e) {
      LOG.warn(
          "Malformed response to commands: machine={} reason={}",
          batch.machine().id(),
          e.getMessage());
      return CommandResponse.UNKNOWN;
    }
  }
}
