package org.saffronshore.cluster;

import java.util.List;
import org.saffronshore.wire.Command;

/**
 * A direct call that is ready to go to a worker.
 *
 * @param epoch the session of the worker that it is meant for
 * @param commands all of it, in the order in which the worker carries it out
 * @param launches the attempts whose launches are among the commands
 */
public record CommandBatch(
    Machine machine, long epoch, List<Command> commands, List<Attempt> launches) {}
