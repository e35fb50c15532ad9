package org.saffronshore.cluster;

import java.util.List;
import org.saffronshore.wire.Command;

/**
 * A direct command message that is ready to be sent to a worker.
 *
 * @param epoch the worker's epoch that it is meant for; in any other it is rejected
 * @param commands all of it, in the order in which the worker executes it
 * @param launches the attempts whose launches are among the commands
 */
public record CommandBatch(
    Machine machine, long epoch, List<Command> commands, List<Attempt> launches) {}
