package org.saffronshore.scheduling;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * The eviction step of a full cycle. Running tasks are evicted in memory only and compete for
 * resources again; evicted tasks that cannot be placed again are preempted. The protocol is
 * stricter than the design here: among tasks of equal priority, only tasks that a team runs beyond
 * its guarantee may be preempted, and only to give another team its guarantee.
 */
final class Eviction {
  private Eviction() {}

  /**
   * Evicts tasks from randomly chosen machines and adds them to the queues of their teams. Does
   * nothing unless some team has a waiting task that is within its guarantee.
   */
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
