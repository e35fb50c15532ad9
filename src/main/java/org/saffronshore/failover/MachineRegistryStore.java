package org.saffronshore.failover;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.Machine;
import org.saffronshore.cluster.MachineRegistry;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.state.Keys;
import org.saffronshore.state.Listing;
import org.saffronshore.state.MachineRegistryEntry;
import org.saffronshore.state.Transaction;
import org.saffronshore.wire.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Persists which machines may hold tasks. A machine receives tasks only after it is registered, so
 * that the next leader knows that it must reconcile the machine. When the heartbeats of a machine
 * stop, its entry is replaced by the list of tasks that it may hold, and it receives no tasks until
 * it is registered again. If the leader changes in the meantime, only these tasks must wait for the
 * machine, instead of all tasks.
 */
final class MachineRegistryStore {
  private static final Logger LOG = LoggerFactory.getLogger(MachineRegistryStore.class);
  private static final double MS_PER_S = 1000;

  private final EventLoop loop;
  private final Settings settings;
  private final TermTransactions transactions;
  private final Cluster cluster;
  private final MachineRegistry registry;
  private final Runnable dueWork;
  private final PagedRecords records;
  private boolean writeInFlight;
  private double retryAt = Double.NEGATIVE_INFINITY;

  /**
   * Creates the store of one term.
   *
   * @param dueWork run after a successful write, since newly registered machines may receive tasks
   */
  MachineRegistryStore(
      EventLoop loop,
      Settings settings,
      TermTransactions transactions,
      Cluster cluster,
      Runnable dueWork) {
    this.loop = loop;
    this.settings = settings;
    this.transactions = transactions;
    this.cluster = cluster;
    this.registry = cluster.registry();
    this.dueWork = dueWork;
    this.records = new PagedRecords(Keys.MACHINE_REGISTRY, PageLimits.of(settings));
  }

  /** Adds all machines registered by earlier terms to the cluster. */
  void load(Listing stored) {
    Set<String> seen = new HashSet<>();
    records.load(
        stored.entries(),
        (machine, value) -> {
          // While a page is being split, an entry may be stored twice, and the newer one cannot be
          // determined. In that case the machine may hold any task.
          boolean isFirst = seen.add(machine);
          MachineRegistryEntry entry = MachineRegistryEntry.parse(value);
          double ageS = (loop.wallClockMs() - entry.writtenAtMs()) / MS_PER_S;
          cluster.addRegistered(
              machine,
              ageS - 2 * settings.maxClockOffsetS(),
              isFirst ? entry.possibleTasks().<Set<TaskId>>map(HashSet::new).orElse(null) : null);
        });
  }

  /** Writes the changes of the registry, unless a write is in flight or was tried too recently. */
  void save() {
    if (writeInFlight
        || loop.now() < retryAt
        || (!registry.hasPendingWrites() && !records.isSplitting())) {
      return;
    }
    List<Machine> toRegister = putChanges();
    Transaction transaction = transactions.begin();
    PagedRecords.Batch batch = transactions.addChangedPages(transaction, records);
    if (batch.isEmpty()) {
      return;
    }
    List<Machine> machines =
        toRegister.stream().filter(machine -> batch.contains(machine.id())).toList();
    writeInFlight = true;
    transactions.commitPages(transaction, batch, written -> writeCompleted(machines, written));
  }

  /** Applies the changes of the registry to the pages; returns the machines to be registered. */
  private List<Machine> putChanges() {
    // While entries are being moved between pages, none is added or replaced, so that a moved entry
    // is not put into yet another page.
    List<Machine> toRegister = List.of();
    if (!records.isSplitting()) {
      registry.takeCordonedMachines().forEach(this::putCordoned);
      toRegister = registry.unregisteredMachines();
      toRegister.forEach(
          machine ->
              records.put(
                  machine.id(), MachineRegistryEntry.mayHoldAnyTask(loop.wallClockMs()).toJson()));
    }
    List<String> removed = new ArrayList<>(registry.removedMachineIds());
    removed.forEach(records::remove);
    removed.forEach(registry.removedMachineIds()::remove);
    return toRegister;
  }

  private void putCordoned(Machine machine) {
    List<TaskId> tasks = new ArrayList<>();
    machine.attempts().forEach(attempt -> tasks.add(attempt.task()));
    MachineRegistryEntry entry = MachineRegistryEntry.holdsAtMost(loop.wallClockMs(), tasks);
    // The entry is replaced in its page or not at all, since it must never be missing in between.
    boolean replaced = records.replaceInPlace(machine.id(), entry.toJson());
    LOG.debug(
        "Registering possible tasks of cordoned machine: machine={} tasks={} replaced={}",
        machine.id(),
        tasks,
        replaced);
  }

  private void writeCompleted(List<Machine> machines, boolean written) {
    writeInFlight = false;
    if (written) {
      registry.markRegistered(machines);
      dueWork.run();
    } else {
      retryAt = loop.now() + settings.heartbeatIntervalS() / 10;
    }
  }
}
