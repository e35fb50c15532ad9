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
 * Persists which machines may hold tasks. A machine gets tasks only once it is registered: a next
 * leader must reconcile it. Of one whose heartbeats stop, the tasks that it may hold are written
 * instead, and it gets nothing until it is registered again; so should the leader change then, only
 * these tasks must wait for the machine, and not all.
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
   * @param dueWork is run after a write: machines may get tasks
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

  /** Adds all machines to the cluster that earlier terms have registered. */
  void load(Listing stored) {
    Set<String> seen = new HashSet<>();
    records.load(
        stored.entries(),
        (machine, value) -> {
          // While a page is split an entry may stand twice, and nothing tells which is the newer
          // one: then the machine may hold anything.
          boolean once = seen.add(machine);
          MachineRegistryEntry entry = MachineRegistryEntry.parse(value);
          double ageS = (loop.wallClockMs() - entry.writtenAtMs()) / MS_PER_S;
          cluster.addRegistered(
              machine,
              ageS - 2 * settings.maxClockOffsetS(),
              once ? entry.possibleTasks().<Set<TaskId>>map(HashSet::new).orElse(null) : null);
        });
  }

  /** Writes what has changed, unless a write is in flight. */
  void save() {
    if (writeInFlight
        || loop.now() < retryAt
        || (!registry.hasPendingWrites() && !records.isSplitting())) {
      return;
    }
    List<Machine> added = putChanges();
    Transaction transaction = transactions.begin();
    PagedRecords.Batch batch = transactions.addChangedPages(transaction, records);
    if (batch.isEmpty()) {
      return;
    }
    List<Machine> saving = added.stream().filter(machine -> batch.contains(machine.id())).toList();
    writeInFlight = true;
    transactions.commitPages(transaction, batch, written -> writeCompleted(saving, written));
  }

  /** Enters what has changed into the pages; returns the machines that are to be registered. */
  private List<Machine> putChanges() {
    // Entries that are being moved are entered nowhere else meanwhile.
    List<Machine> added = List.of();
    if (!records.isSplitting()) {
      registry.takeCordonedMachines().forEach(this::putCordoned);
      added = registry.unregisteredMachines();
      added.forEach(
          machine ->
              records.put(
                  machine.id(), MachineRegistryEntry.mayHoldAnything(loop.wallClockMs()).toJson()));
    }
    List<String> removed = new ArrayList<>(registry.removedMachines());
    removed.forEach(records::remove);
    removed.forEach(registry.removedMachines()::remove);
    return added;
  }

  private void putCordoned(Machine machine) {
    List<TaskId> tasks = new ArrayList<>();
    machine.attempts().forEach(attempt -> tasks.add(attempt.task()));
    MachineRegistryEntry entry = MachineRegistryEntry.holdsAtMost(loop.wallClockMs(), tasks);
    // In place or not at all: it must not be missing for a moment.
    boolean replaced = records.replaceInPlace(machine.id(), entry.toJson());
    LOG.debug(
        "Registering possible tasks of cordoned machine: machine={} tasks={} replaced={}",
        machine.id(),
        tasks,
        replaced);
  }

  private void writeCompleted(List<Machine> saving, boolean written) {
    writeInFlight = false;
    if (written) {
      registry.markRegistered(saving);
      dueWork.run();
    } else {
      retryAt = loop.now() + settings.heartbeatIntervalS() / 10;
    }
  }
}
