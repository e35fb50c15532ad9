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

/** Keeps one term's cluster in line with the cloud's list of machines. */
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

  /** Whether the whole list has been read at least once. */
  boolean hasReadWholeList() {
    return wholeListRead;
  }

  /** Reads the list from its beginning, unless that is going on already. */
  void poll() {
    if (!polling) {
      polling = true;
      requestPage("", new HashSet<>(), loop.now());
    }
  }

  /**
   * Requests the page after a machine.
   *
   * @param listed ids of the machines on the pages before, to which this page's are added
   * @param startedAt when the first page was requested
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
    String last = after;
    for (ListedMachine machine : page.get().machines()) {
      last = machine.id();
      listed.add(last);
      cluster.machineListed(machine);
    }
    // A page that is said not to be the last one, and has nothing on it, would be requested
    // forever.
    if (!page.get().isLast() && !last.equals(after)) {
      requestPage(last, listed, startedAt);
      return;
    }
    polling = false;
    wholeListRead = true;
    cluster.removeUnlisted(listed, startedAt);
  }
}
