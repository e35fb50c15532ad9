package org.saffronshore.autoscaling;

import java.util.List;
import org.saffronshore.admin.Metrics;
import org.saffronshore.cloud.CloudClient;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.scheduling.SchedulingPlan;

/**
 * Adjusts the number and kinds of rented machines to what the tasks need, for the duration of one
 * leader term.
 */
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

  /** Creates the autoscaler of a term; it does nothing until {@link #start} is called. */
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

  /** Starts the periodic polling of the cloud's machine list and the periodic scaling. */
  public void start() {
    machineListPoller.poll();
    term.repeatWhileActive(
        Math.max(settings.heartbeatIntervalS(), 2 / settings.cloudRequestsPerS()),
        machineListPoller::poll);
    term.repeatWhileActive(settings.heartbeatIntervalS() / 3, this::scale);
  }

  /**
   * Called after a scheduling cycle; rents machines for the tasks that the cycle could not place.
   *
   * @param tasks the unplaced tasks, in queue order
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
   * Returns whether machines may be rented now. A leader other than the first one waits for the lag
   * of the cloud's machine list: the machines that the previous leader rented last may not be
   * listed until then, and machines would be rented twice for the same tasks.
   */
  private boolean mayRent() {
    return term.isActive()
        && term.hasLoadedRecords()
        && machineListPoller.hasReadWholeList()
        && (term.number() == 1 || loop.now() > cluster.startedAt() + settings.cloudListLagS());
  }
}
