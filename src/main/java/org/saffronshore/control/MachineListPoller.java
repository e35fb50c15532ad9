package org.saffronshore.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Set;
import org.saffronshore.cloud.CloudClient;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.http.Loop;
import org.saffronshore.wire.Json;

/** Keeps one term's cluster in line with the cloud's list of machines. */
final class MachineListPoller {
  private final Loop loop;
  private final CloudClient cloud;
  private final Leader leader;
  private final Cluster cluster;
  private boolean busy;
  private boolean complete;

  MachineListPoller(Node node, Leader leader, Cluster cluster) {
    this.loop = node.loop();
    this.cloud = node.cloud();
    this.leader = leader;
    this.cluster = cluster;
  }

  /** Whether all of it was read at least once. */
  boolean complete() {
    return complete;
  }

  void read() {
    if (!busy) {
      busy = true;
      page("", new HashSet<>(), loop.now());
    }
  }

  private void page(String after, Set<String> ids, double requestedAt) {
    cloud.list(
        after,
        answer -> {
          JsonNode body = answer.ok() ? answer.json() : null;
          if (!leader.holdsLease() || body == null || !body.path("Cadres").isArray()) {
            busy = false;
            return;
          }
          String last = after;
          for (JsonNode c : body.get("Cadres")) {
            last = Json.text(c, "Uid");
            ids.add(last);
            cluster.listed(
                last,
                Json.text(c, "Address"),
                Json.text(c, "Rig"),
                Json.text(c, "Depot"),
                Json.flag(c, "Loaner"),
                "failed".equals(Json.text(c, "Status")),
                Json.number(c, "HeldS", 0));
          }
          if (Json.flag(body, "Truncated") && !last.equals(after)) {
            page(last, ids, requestedAt);
            return;
          }
          busy = false;
          complete = true;
          cluster.listedOnly(ids, requestedAt);
        });
  }
}
