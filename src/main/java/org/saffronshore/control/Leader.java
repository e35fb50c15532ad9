package org.saffronshore.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.saffronshore.admin.Metrics;
import org.saffronshore.admin.OperatorSettings;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.Job;
import org.saffronshore.cluster.Machine;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Client;
import org.saffronshore.http.Loop;
import org.saffronshore.leadership.Leadership;
import org.saffronshore.scheduling.Cycle;
import org.saffronshore.scheduling.Plan;
import org.saffronshore.state.JobStore;
import org.saffronshore.state.Keys;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.Txn;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.InvalidField;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Json;
import org.saffronshore.wire.Report;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term of leading. Reads what the state service knows, rebuilds the rest from reports, and then runs the loops
 * that bring what is closer to what is wanted: tasks to machines, finished tasks to the state service. It does
 * nothing while the leadership does not hold.
 */
final class Leader {
    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);
    /** Finished tasks are kept in pieces, so that a value stays below what the state service takes. */
    private static final int CHUNK = 32_768;

    private final Loop loop;
    private final Settings settings;
    private final StateClient state;
    private final JobStore store;
    private final Client client;
    private final Leadership leadership;
    private final Metrics metrics;
    private final RandomGenerator random;
    private final PeerLink peers;
    private final FleetKeeper fleet;
    private final Cluster cluster;
    private final long term;
    private boolean ended;
    private boolean loaded;
    private boolean cyclePlanned;
    private boolean saveBusy;
    private boolean rosterBusy;
    private final Set<String> stalePieces = new LinkedHashSet<>();
    private final Map<String, Set<Integer>> pieces = new HashMap<>();
    private OperatorSettings operator = OperatorSettings.START;
    private double watchedAt;

    Leader(Node node, long term, long keyVersion) {
        this.loop = node.loop();
        this.settings = node.settings();
        this.state = node.state();
        this.store = node.store();
        this.client = node.client();
        this.leadership = node.leadership();
        this.metrics = node.metrics();
        this.random = node.random();
        this.peers = node.peers();
        this.term = term;
        this.cluster = new Cluster(loop, settings, term, keyVersion);
        this.fleet = new FleetKeeper(node, this, cluster, term);
    }

    Cluster cluster() {
        return cluster;
    }

    FleetKeeper fleet() {
        return fleet;
    }

    boolean acting() {
        return !ended && leadership.acting();
    }

    boolean loaded() {
        return loaded;
    }

    void end() {
        ended = true;
    }

    void start() {
        watched(loop.now());
        load();
        repeat(settings.reportS() / 12, this::tick);
        repeat(settings.reportS() / 3, this::saveProgress);
        repeat(settings.reportS(), this::readOperator);
        period();
        readOperator();
        fleet.start();
    }

    /** Runs an action again and again for as long as this term lasts, but only while this node may act. */
    void repeat(double seconds, Runnable action) {
        loop.after(seconds, () -> {
            if (ended) {
                return;
            }
            try {
                if (leadership.acting()) {
                    action.run();
                }
            } finally {
                repeat(seconds, action);
            }
        });
    }

    private void period() {
        loop.after(operator.tuning().periodS(), () -> {
            if (ended) {
                return;
            }
            try {
                cycle(true);
                if (acting() && loaded) {
                    LOG.info("term {}: {}", term, cluster.summary());
                }
            } finally {
                period();
            }
        });
    }

    // What the state service knows

    private void load() {
        state.list(Keys.PROGRESS, progress -> state.list(Keys.ROSTER, roster -> state.list(Keys.JOBS, jobs -> {
            if (ended) {
                return;
            }
            if (progress == null || roster == null || jobs == null) {
                loop.after(settings.reportS() / 10, this::load);
                return;
            }
            loaded(progress, roster, jobs);
        })));
    }

    private void loaded(StateClient.Listing progress, StateClient.Listing roster, StateClient.Listing jobs) {
        Map<String, BitSet> done = new HashMap<>();
        for (StateClient.Entry e : progress.entries()) {
            String id = Keys.idOf(e.key());
            int piece = Integer.parseInt(e.key().substring(e.key().lastIndexOf('/') + 1));
            pieces.computeIfAbsent(id, j -> new java.util.TreeSet<>()).add(piece);
            BitSet bits = done.computeIfAbsent(id, j -> new BitSet());
            readPiece(e.value(), piece).stream().forEach(bits::set);
        }
        for (StateClient.Entry e : jobs.entries()) {
            add(e.key(), e.value(), e.version(), done.getOrDefault(Keys.idOf(e.key()), new BitSet()));
        }
        for (StateClient.Entry e : roster.entries()) {
            double ageS = (loop.wallMs() - Json.count(e.value(), "At", Long.MAX_VALUE / 2)) / 1000.0;
            cluster.addRoster(Keys.idOf(e.key()), ageS - 2 * settings.clockOffS());
        }
        for (String id : new ArrayList<>(pieces.keySet())) {
            if (cluster.job(id) == null) {
                dropPieces(id);
            }
        }
        loaded = true;
        LOG.info("term {}: {} open jobs, {} machines that may hold tasks", term, jobs.entries().size(),
                roster.entries().size());
        watch(jobs.revision());
        planCycle();
    }

    private static BitSet readPiece(JsonNode value, int piece) {
        BitSet bits = new BitSet();
        try {
            BitSet.valueOf(value.path("Done").binaryValue()).stream().forEach(i -> bits.set(piece * CHUNK + i));
        } catch (IOException | RuntimeException e) {
            LOG.error("a record of finished tasks cannot be read", e);
        }
        return bits;
    }

    private void add(String key, JsonNode record, long version, BitSet done) {
        try {
            cluster.addJob(JobSpec.parse(record.get("Spec")), version, Json.count(record, "At", 0), done);
        } catch (InvalidField e) {
            LOG.error("the record {} cannot be read: {}", key, e.getMessage());
        }
    }

    /** Cancellations are decided by other nodes and become known here: so this must never lag for long. */
    private void watch(long from) {
        if (ended) {
            return;
        }
        double askedAt = loop.now();
        state.watch(Keys.JOBS, from, settings.cancelS() / 20, answer -> {
            if (ended) {
                return;
            }
            JsonNode body = answer.ok() ? answer.json() : null;
            if (body != null && body.path("Events").isArray()) {
                watched(askedAt);
                changes(body.get("Events"));
                watch(Json.count(body, "Ledger", from));
            } else if (answer.status() == 410) {
                relist();
            } else {
                loop.after(settings.reportS() / 10, () -> watch(from));
            }
        });
    }

    /**
     * The peers' time lets a leader act without the state service only as long as a cancellation that it cannot
     * see is still carried out in time: should it stop acting then, the workers' leases end the rest.
     */
    private void watched(double askedAt) {
        watchedAt = askedAt;
        leadership.boundGrants(watchedAt
                + settings.cancelS() - Settings.stretched(settings.leaseS()) - 2 * settings.reportS());
    }

    private void changes(JsonNode events) {
        for (JsonNode e : events) {
            String set = Json.text(e, "Set");
            if (set != null) {
                add(set, e.path("Data"), Json.count(e, "Stamp", 0), new BitSet());
            } else if (Json.text(e, "Remove") != null) {
                remove(Keys.idOf(Json.text(e, "Remove")));
            }
        }
        if (!events.isEmpty()) {
            act();
        }
    }

    private void remove(String id) {
        cluster.removeJob(id);
        dropPieces(id);
    }

    private void relist() {
        double askedAt = loop.now();
        state.list(Keys.JOBS, jobs -> {
            if (ended) {
                return;
            }
            if (jobs == null) {
                loop.after(settings.reportS() / 10, this::relist);
                return;
            }
            Set<String> open = new java.util.HashSet<>();
            for (StateClient.Entry e : jobs.entries()) {
                open.add(Keys.idOf(e.key()));
                add(e.key(), e.value(), e.version(), new BitSet());
            }
            for (Job job : new ArrayList<>(cluster.jobs())) {
                if (!open.contains(job.spec().id())) {
                    remove(job.spec().id());
                }
            }
            watched(askedAt);
            watch(jobs.revision());
            act();
        });
    }

    private void readOperator() {
        state.get(Keys.OPERATOR, true, answer -> {
            JsonNode body = answer.ok() ? answer.json() : null;
            try {
                if (body != null) {
                    operator = OperatorSettings.parse(body.get("Data"), settings.teams().keySet());
                } else if (answer.status() == 404) {
                    operator = OperatorSettings.START;
                }
            } catch (InvalidField e) {
                LOG.error("stored operators' settings are not used: {}", e.getMessage());
            }
        });
    }

    // Reports

    /** The answer to a worker's report; null when this node cannot answer for the controllers now. */
    ObjectNode report(Report report) {
        if (report.token() > term) {
            leadership.stepDown("worker " + report.machine() + " has seen token " + report.token());
            return null;
        }
        if (!acting() || cluster.isGone(report.machine())) {
            return null;
        }
        Machine machine = cluster.reported(report, loaded);
        ObjectNode answer = Json.object().put("Baton", term);
        Command.write(answer, loaded ? cluster.responseCommands(machine) : List.of());
        act();
        return answer;
    }

    // Loops

    /** Looks after everything that may have become due. */
    private void act() {
        if (!acting() || !loaded) {
            return;
        }
        saveRoster();
        saveFinished();
        sendCalls();
        if (cluster.takeChanged()) {
            planCycle();
        }
    }

    private void tick() {
        if (leadership.permitted() && loop.now() > watchedAt + settings.cancelS() / 3) {
            leadership.stepDown("cancellations cannot be read");
            return;
        }
        if (!loaded) {
            return;
        }
        if (peers.alone(settings.reportS()) && cluster.mostlySilent(2 * settings.reportS())) {
            leadership.giveWay("it hears neither its peers nor most machines");
            return;
        }
        cluster.expireLeases();
        cluster.retryCalls();
        act();
    }

    private void planCycle() {
        if (!cyclePlanned) {
            cyclePlanned = true;
            loop.after(settings.reportS() / 100, () -> {
                cyclePlanned = false;
                cycle(false);
            });
        }
    }

    private void cycle(boolean evict) {
        if (!acting() || !loaded || cluster.types().isEmpty()) {
            return;
        }
        double began = loop.now();
        cluster.takeChanged();
        Plan plan = Cycle.run(cluster.hosts(), cluster.pending(), cluster.teams(operator.tuning(),
                operator.teamWeights()), operator.tuning(), evict, random);
        for (Plan.Placement p : plan.placements()) {
            LOG.debug("placing task {} on {}", p.task(), p.host());
            cluster.place(p.task(), p.host());
        }
        for (Plan.Stop s : plan.stops()) {
            cluster.stop(s.task(), s.host(), s.why());
        }
        metrics.add(Metrics.Count.CYCLES, 1);
        metrics.add(Metrics.Count.PLACED, plan.placements().size());
        metrics.add(Metrics.Count.STOPPED, plan.stops().size());
        metrics.took(Metrics.Latency.CYCLE, loop.now() - began);
        sendCalls();
        fleet.wanted(plan.unmet());
    }

    private void sendCalls() {
        for (Machine m : cluster.takeToCall()) {
            Cluster.Call call = cluster.call(m);
            if (call != null) {
                send(call);
            }
        }
    }

    private void send(Cluster.Call call) {
        ObjectNode body = Json.object().put("Baton", term).put("Shift", call.session());
        Command.write(body, call.commands());
        for (Command c : call.commands()) {
            if (c.op() == Command.Op.START) {
                LOG.info("launching task {} attempt {} on {}", c.task(), c.attempt(), call.machine().id());
            }
        }
        client.send(call.machine().address(), "POST", "/do", Json.bytes(body), settings.reportS() * 4 / 3, answer -> {
            Report report = null;
            if (answer.status() == 200 || answer.status() == 409) {
                try {
                    report = Report.parse(answer.json());
                } catch (InvalidField e) {
                    LOG.warn("machine {} answered with no report: {}", call.machine().id(), e.getMessage());
                }
            }
            if (ended) {
                return;
            }
            if (report != null && report.token() > term) {
                leadership.stepDown("worker " + report.machine() + " has seen token " + report.token());
                return;
            }
            boolean surelyNot = answer.equals(org.saffronshore.http.Answer.NOT_SENT)
                    || answer.status() == 409 && report != null;
            cluster.called(call, answer.status() == 200 && report != null, surelyNot, report);
            act();
        });
    }

    // What the state service must know

    private boolean stillLeading(JsonNode refusal) {
        if (refusal != null) {
            for (JsonNode key : refusal.path("failed")) {
                if (Keys.LEADER.equals(key.asText())) {
                    leadership.stepDown("its key is gone");
                    return false;
                }
            }
        }
        return true;
    }

    private Txn guarded() {
        return new Txn().guard(Keys.LEADER, leadership.keyVersion());
    }

    /** Commits that jobs are done, before any user is told so. */
    private void saveFinished() {
        for (Job job : new ArrayList<>(cluster.toSave())) {
            if (!job.complete() || job.saving()) {
                continue;
            }
            String id = job.spec().id();
            Txn txn = guarded().guard(Keys.job(id), job.version()).guard(Keys.end(id), 0)
                    .set(Keys.end(id), JobStore.endRecord(JobStore.Status.DONE)).remove(Keys.job(id));
            Set<Integer> kept = pieces.getOrDefault(id, Set.of());
            boolean withPieces = kept.size() + 2 <= settings.txnOps();
            if (withPieces) {
                kept.forEach(piece -> txn.remove(Keys.progress(id, piece)));
            }
            job.saving(true);
            state.commit(txn, true, answer -> {
                job.saving(false);
                if (ended) {
                    return;
                }
                if (answer.ok()) {
                    LOG.info("job {} is done", id);
                    store.remember(id, JobStore.Status.DONE);
                    if (withPieces) {
                        pieces.remove(id);
                    }
                    remove(id);
                    act();
                } else if (answer.status() == 409 && stillLeading(answer.json())) {
                    // Its user cancelled it, or an earlier try of ours came through; the watch will tell.
                    cluster.toSave().remove(job);
                    relistSoon();
                }
            });
        }
    }

    private void relistSoon() {
        loop.after(settings.reportS(), () -> {
            if (!ended) {
                cluster.jobs().stream().filter(Job::complete).forEach(cluster.toSave()::add);
            }
        });
    }

    /** Keeps which tasks are finished, so that a change of leader does not run them again. */
    private void saveProgress() {
        dropStalePieces();
        if (saveBusy || !loaded) {
            return;
        }
        Txn txn = guarded();
        Map<Job, BitSet> saving = new LinkedHashMap<>();
        for (Job job : cluster.toSave()) {
            if (!job.unsaved() || job.complete()) {
                continue;
            }
            BitSet news = (BitSet) job.doneTasks().clone();
            news.andNot(job.savedTasks());
            Set<Integer> touched = new LinkedHashSet<>();
            news.stream().forEach(i -> touched.add(i / CHUNK));
            if (txn.changes() + touched.size() > settings.txnOps() || saving.size() >= settings.txnOps()) {
                break;
            }
            for (int piece : touched) {
                byte[] bits = job.doneTasks().get(piece * CHUNK, (piece + 1) * CHUNK).toByteArray();
                txn.set(Keys.progress(job.spec().id(), piece), Json.object().put("Done", bits));
                pieces.computeIfAbsent(job.spec().id(), j -> new java.util.TreeSet<>()).add(piece);
            }
            saving.put(job, (BitSet) job.doneTasks().clone());
        }
        if (saving.isEmpty()) {
            return;
        }
        saveBusy = true;
        state.commit(txn, true, answer -> {
            saveBusy = false;
            if (ended) {
                return;
            }
            if (answer.ok()) {
                saving.forEach((job, done) -> {
                    cluster.saved(job, done);
                    if (!job.unsaved() && !job.complete()) {
                        cluster.toSave().remove(job);
                    }
                    if (cluster.job(job.spec().id()) != job) {
                        dropPieces(job.spec().id());
                    }
                });
            } else if (answer.status() == 409) {
                stillLeading(answer.json());
            }
        });
    }

    private void dropPieces(String id) {
        Set<Integer> kept = pieces.remove(id);
        if (kept != null) {
            kept.forEach(piece -> stalePieces.add(Keys.progress(id, piece)));
        }
    }

    private void dropStalePieces() {
        if (stalePieces.isEmpty()) {
            return;
        }
        Txn txn = guarded();
        List<String> dropped = new ArrayList<>();
        for (String key : stalePieces) {
            if (dropped.size() < settings.txnOps()) {
                txn.remove(key);
                dropped.add(key);
            }
        }
        dropped.forEach(stalePieces::remove);
        state.commit(txn, false, answer -> {
            if (!answer.ok()) {
                stalePieces.addAll(dropped);
            }
        });
    }

    /** A machine gets tasks only once the state service knows that it may: a next leader must account for it. */
    private void saveRoster() {
        if (rosterBusy) {
            return;
        }
        Txn txn = guarded();
        List<Machine> added = cluster.notInRoster(settings.txnOps());
        added.forEach(m -> txn.set(Keys.machine(m.id()), Json.object().put("At", loop.wallMs())));
        List<String> left = new ArrayList<>();
        for (String id : cluster.rosterLeft()) {
            if (txn.changes() < settings.txnOps()) {
                txn.remove(Keys.machine(id));
                left.add(id);
            }
        }
        if (txn.changes() == 0) {
            return;
        }
        rosterBusy = true;
        state.commit(txn, true, answer -> {
            rosterBusy = false;
            if (ended) {
                return;
            }
            if (answer.ok()) {
                cluster.inRoster(added);
                left.forEach(cluster.rosterLeft()::remove);
                act();
            } else if (answer.status() == 409) {
                stillLeading(answer.json());
            }
        });
    }

    Progress progress(String id) {
        Job job = cluster.job(id);
        return job == null ? Progress.NONE : new Progress(job.doneTasks().cardinality(), job.running());
    }
}
