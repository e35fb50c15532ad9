/**
 * The scheduling algorithm: which waiting task starts on which machine, and which running task is
 * preempted. {@link org.saffronshore.scheduling.SchedulingCycle} is one cycle of the design in
 * "Armada Scheduler"; each other class has one part of it:
 *
 * <ul>
 *   <li>{@code TeamQueues}, {@code TeamQueue}, {@code QueueEntry}: what waits, by team;
 *   <li>{@code FairShareOrder}, {@link org.saffronshore.scheduling.Team}: whose turn it is, and
 *       what guarantees and limits allow;
 *   <li>{@code MachineSelector}: the order in which machines are packed;
 *   <li>{@code Eviction}: running tasks that compete for their places again, in memory only;
 *   <li>{@code PreemptionPlanner}, {@code VictimSelector}: where preemption makes room at the least
 *       loss;
 *   <li>{@code OverdueReservation}: room that is kept for a job which has waited for very long;
 *   <li>{@code FailedPlacements}: what need not be tried again in the same cycle.
 * </ul>
 *
 * <p>Everything here is computed from the arguments, without I/O, clock or logging, and may use the
 * packages {@code wire}, {@code config} and {@code fleet} only. A cycle looks at every machine for
 * many tasks, so inner loops are plain loops, nothing is allocated per machine and task, and "no
 * machine" is a {@code null} marked {@code @Nullable} rather than an {@code Optional}.
 */
@NullMarked
package org.saffronshore.scheduling;

import org.jspecify.annotations.NullMarked;
