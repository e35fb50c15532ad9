/**
 * The scheduling algorithm: which waiting task starts on which machine, and which running task is
 * preempted. {@link org.saffronshore.scheduling.SchedulingCycle} implements one cycle of the design
 * in "Armada Scheduler"; each of the other classes implements one part of it:
 *
 * <ul>
 *   <li>{@code TeamQueues}, {@code TeamQueue}, {@code QueueEntry}: the tasks to place, by team;
 *   <li>{@code FairShareOrder}, {@link org.saffronshore.scheduling.Team}: the order of the teams,
 *       and their guarantees and limits;
 *   <li>{@code MachineSelector}: the order in which machines are packed;
 *   <li>{@code Eviction}: running tasks that are evicted, in memory only, and compete for resources
 *       again;
 *   <li>{@code PreemptionPlanner}, {@code VictimSelector}: the preemption that frees enough
 *       resources for a task at the least loss of work;
 *   <li>{@code OverdueReservation}: a machine that is reserved for a job that has waited for very
 *       long;
 *   <li>{@code FailedPlacements}: placements that need not be tried again in the same cycle.
 * </ul>
 *
 * <p>All results are computed from the arguments, without I/O, clocks or logging. This package may
 * only use the packages {@code wire}, {@code config} and {@code fleet}. A cycle examines every
 * machine for many tasks. Inner loops are therefore plain loops that allocate nothing per machine
 * and task, and a missing machine is a {@code null} marked {@code @Nullable} rather than an {@code
 * Optional}.
 */
@NullMarked
package org.saffronshore.scheduling;

import org.jspecify.annotations.NullMarked;
