package org.saffronshore.scheduling;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Eviction, in memory only: running tasks compete for their places again, and what finds none is
 * preempted. The protocol is narrower than the design here: among equals, only what a team runs
 * beyond its guarantee may be preempted, and only to give another team its guarantee.
 */
final class Eviction {
  private Eviction() {}

  /** Evicts tasks of machines chosen at random, and queues them. */
  static void run(
      Collection<MachineView> machines,
      TeamQueues queues,
      SchedulingSettings settings,
      RandomGenerator random) {
    Set<String> belowGuarantee = queues.teamsBelowGuarantee();
    if (belowGuarantee.isEmpty()) {
      return;
    }
    for (MachineView machine : machines) {
      if (random.nextDouble() >= settings.evictionProbability()) {
        continue;
      }
      for (PlacedTask task : List.copyOf(machine.preemptibleTasks())) {
        Team owner = queues.team(task.job().team());
        if (owner != null
            && !belowGuarantee.contains(owner.name())
            && owner.isGuaranteeMetWithout(task.job())) {
          machine.evict(task);
          owner.removeFromShare(task.job(), settings);
          queues.addEvicted(owner, new QueueEntry.Evicted(task, machine));
        }
      }
    }
    queues.sortEvicted();
  }
}
