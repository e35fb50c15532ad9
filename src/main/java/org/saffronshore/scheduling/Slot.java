package org.saffronshore.scheduling;

import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/** A task on a host as the cycle sees it; {@code lostS} is how much of its running time a stop would waste. */
public record Slot(TaskId task, JobSpec job, boolean stopping, double lostS) {}
