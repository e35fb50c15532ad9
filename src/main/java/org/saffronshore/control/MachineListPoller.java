package org.saffronshore.control;

import java.util.HashSet;
import java.util.Set;
import org.saffronshore.cloud.CloudClient;
import org.saffronshore.cloud.MachinePage;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.LeaderTerm;

/** Keeps one term's cluster in line with the cloud's list of machines. */
final class MachineListPoller {
  private final EventLoop loop;
  private final CloudClient cloud;
  private final LeaderTerm term;
  private final Cluster cluster;
  private boolean busy;
  private boolean complete;

  MachineListPoller(EventLoop loop, CloudClient cloud, LeaderTerm term, Cluster cluster) {
    this.loop = loop;
    this.cloud = cloud;
    this.term = term;
    this.cluster = cluster;
  }

  /** Whether all of it was read at least once. */
  boolean complete() {
    return complete;
  }

  void poll() {
    if (!busy) {
      busy = true;
      page("", new HashSet<>(), loop.now());
    }
  }

  private void page(String after, Set<String> ids, double requestedAt) {
    cloud.listMachines(
        after,
        page -> {
          if (!term.holdsLease() || page.isEmpty()) {
            busy = false;
            return;
          }
          String last = after;
          for (MachinePage.ListedMachine m : page.get().machines()) {
            last = m.id();
            ids.add(last);
            cluster.machineListed(
                last, m.address(), m.type(), m.zone(), m.spot(), m.failed(), m.rentedForS());
          }
          if (!page.get().isLast() && !last.equals(after)) {
            page(last, ids, requestedAt);
            return;
          }
          busy = false;
          complete = true;
          cluster.removeUnlisted(ids, requestedAt);
        });
  }
}
