package org.saffronshore.control;

import java.util.HashSet;
import java.util.Set;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.Job;
import org.saffronshore.http.Loop;
import org.saffronshore.state.JobStore;
import org.saffronshore.state.JobStore.Status;

/**
 * Works out the difference between what one term knows of jobs that others need, and what the state service knows: how
 * they ended is asked, and jobs that are cancelled with one that they need get their own ends. Neither is urgent: what
 * is not known to be done keeps others waiting, and users are told of cancellations without it.
 */
final class Chains {
    /** So many questions and writes are under way at the same time. */
    private static final int MOST = 8;

    private final Loop loop;
    private final JobStore store;
    private final Leader leader;
    private final Cluster cluster;
    private final Records records;
    private final Set<String> asked = new HashSet<>();
    private final Set<String> writing = new HashSet<>();

    Chains(Node node, Leader leader, Cluster cluster, Records records) {
        this.loop = node.loop();
        this.store = node.store();
        this.leader = leader;
        this.cluster = cluster;
        this.records = records;
    }

    void look() {
        for (String id : cluster.dependencies().unknown()) {
            if (asked.size() >= MOST) {
                break;
            }
            if (asked.add(id)) {
                ask(id);
            }
        }
        for (String id : cluster.dependencies().cancelled()) {
            Job job = cluster.job(id);
            if (writing.size() >= MOST) {
                break;
            }
            if (job != null && writing.add(id)) {
                records.saveCancelled(job, () -> writing.remove(id));
            }
        }
    }

    private void ask(String id) {
        store.readEnd(id, end -> {
            asked.remove(id);
            if (leader.ended()) {
                return;
            }
            if (end.status() == Status.DONE) {
                // An end that an earlier version wrote says nothing of its time.
                cluster.ended(id, true, end.atMs() > 0 ? end.atMs() : loop.wallMs());
                leader.act();
            } else if (end.status() == Status.CANCELLED) {
                leader.cancelled(id);
            } else {
                // Asked again with the next round.
                return;
            }
            look();
        });
    }
}
