package org.saffronshore.autoscaling;

import java.util.List;
import org.saffronshore.admin.Metrics;
import org.saffronshore.cloud.CloudClient;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.scheduling.SchedulingPlan;

/** Keeps the rented machines in line with what the tasks need, for one term. */
public final class Autoscaler {
  private final EventLoop loop;
  private final Settings settings;
  private final LeaderTerm term;
  private final Cluster cluster;
  private final MachineListPoller machineListPoller;
  private final ScaleOut scaleOut;
  private final ScaleIn scaleIn;
  private final Consolidation consolidation;
  private List<SchedulingPlan.UnplacedTasks> unplaced = List.of();

  /** Builds the loops of a term; they run from {@link #start} on. */
  public Autoscaler(
      EventLoop loop,
      Settings settings,
      CloudClient cloud,
      Metrics metrics,
      LeaderTerm term,
      Cluster cluster) {
    this.loop = loop;
    this.settings = settings;
    this.term = term;
    this.cluster = cluster;
    BootTimes bootTimes = new BootTimes(settings, cluster);
    CapacityBackoff backoff = new CapacityBackoff(loop, bootTimes);
    RentalOrders orders = new RentalOrders(loop, settings, cloud, metrics, term, cluster, backoff);
    MachineReturns returns =
        new MachineReturns(loop, settings, cloud, metrics, term, cluster, backoff);
    this.machineListPoller = new MachineListPoller(loop, cloud, term, cluster);
    this.scaleOut = new ScaleOut(loop, settings, cluster, bootTimes, orders, backoff);
    this.scaleIn = new ScaleIn(loop, term, cluster, bootTimes, returns);
    this.consolidation = new Consolidation(loop, cluster);
  }

  /** Starts to poll the cloud's list of machines and to scale. */
  public void start() {
    machineListPoller.poll();
    term.repeatWhileActive(
        Math.max(settings.heartbeatIntervalS(), 2 / settings.cloudRequestsPerS()),
        machineListPoller::poll);
    term.repeatWhileActive(settings.heartbeatIntervalS() / 3, this::scale);
  }

  /**
   * Rents for the tasks that the last scheduling cycle found no place for.
   *
   * @param tasks in the order of the queue
   */
  public void onTasksUnplaced(List<SchedulingPlan.UnplacedTasks> tasks) {
    unplaced = tasks;
    scaleOut();
  }

  private void scale() {
    if (!term.hasLoadedRecords()) {
      return;
    }
    scaleIn.returnUnneeded();
    scaleOut();
    if (unplaced.isEmpty()) {
      consolidation.drainUnderused();
    }
  }

  private void scaleOut() {
    if (mayRent()) {
      scaleOut.rentFor(unplaced);
    }
  }

  /**
   * The machines that an earlier leader rented last are in no list yet: renting for the same tasks
   * again would be waste.
   */
  private boolean mayRent() {
    return term.isActive()
        && term.hasLoadedRecords()
        && machineListPoller.hasReadWholeList()
        && (term.number() == 1 || loop.now() > cluster.startedAt() + settings.cloudListLagS());
  }
}
