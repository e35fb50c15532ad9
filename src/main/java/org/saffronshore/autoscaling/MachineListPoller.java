package org.saffronshore.autoscaling;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.saffronshore.cloud.CloudClient;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.wire.ListedMachine;
import org.saffronshore.wire.MachineListPage;

/** Synchronizes the cluster of one term with the cloud's machine list. */
final class MachineListPoller {
  private final EventLoop loop;
  private final CloudClient cloud;
  private final LeaderTerm term;
  private final Cluster cluster;
  private boolean polling;
  private boolean wholeListRead;

  MachineListPoller(EventLoop loop, CloudClient cloud, LeaderTerm term, Cluster cluster) {
    this.loop = loop;
    this.cloud = cloud;
    this.term = term;
    this.cluster = cluster;
  }

  /** Returns whether the whole list has been read at least once in this term. */
  boolean hasReadWholeList() {
    return wholeListRead;
  }

  /** Reads the list from the first page, unless a poll is already in progress. */
  void poll() {
    if (!polling) {
      polling = true;
      requestPage("", new HashSet<>(), loop.now());
    }
  }

  /**
   * Requests one page of the list.
   *
   * @param after id of the last machine on the previous page; empty for the first page
   * @param listed ids of the machines on the previous pages; the ids on this page are added to the
   *     set
   * @param startedAt time at which the first page was requested, on the event loop's clock
   */
  private void requestPage(String after, Set<String> listed, double startedAt) {
    cloud.listMachines(after, page -> onPageReceived(page, after, listed, startedAt));
  }

  private void onPageReceived(
      Optional<MachineListPage> page, String after, Set<String> listed, double startedAt) {
    if (!term.holdsLease() || page.isEmpty()) {
      polling = false;
      return;
    }
    String lastId = after;
    for (ListedMachine machine : page.get().machines()) {
      lastId = machine.id();
      listed.add(lastId);
      cluster.machineListed(machine);
    }
    // A page without machines counts as the end of the list even if the cloud reports that more
    // pages follow: the same page would otherwise be requested forever.
    if (!page.get().isLast() && !lastId.equals(after)) {
      requestPage(lastId, listed, startedAt);
      return;
    }
    polling = false;
    wholeListRead = true;
    cluster.removeUnlisted(listed, startedAt);
  }
}
