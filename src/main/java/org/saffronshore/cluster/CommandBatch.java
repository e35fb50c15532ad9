package org.saffronshore.cluster;

import java.util.List;
import org.saffronshore.wire.Command;

/**
 * Commands that are sent directly to a worker in one message.
 *
 * @param epoch the epoch of the worker for which the batch is meant; in any other epoch the worker
 *     rejects it
 * @param fencingToken the machine's fencing token at the time at which the batch is sent
 * @param commands the commands, in the order in which the worker executes them
 * @param launches the attempts whose launches are among the commands
 */
public record CommandBatch(
    Machine machine,
    long epoch,
    long fencingToken,
    List<Command> commands,
    List<Attempt> launches) {}
