package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.saffronshore.config.Settings;
import org.saffronshore.config.Settings.Address;
import org.saffronshore.fleet.Arrivals;
import org.saffronshore.fleet.Displaced;
import org.saffronshore.fleet.Forecast;
import org.saffronshore.http.Loop;
import org.saffronshore.scheduling.Host;
import org.saffronshore.scheduling.Pending;
import org.saffronshore.scheduling.Room;
import org.saffronshore.scheduling.Team;
import org.saffronshore.scheduling.Tuning;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.InvalidField;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineType;
import org.saffronshore.wire.Report;
import org.saffronshore.wire.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What one leader knows during its term: machines, and where every task is or may be. It is made anew from the
 * state service and from reports in every term. A task counts as being on a machine until there is proof that it
 * is not and cannot come to be there: a newer report, a newer session, a lease that must have run out, or the
 * cloud's word that the machine is gone.
 */
public final class Cluster {
    private static final Logger LOG = LoggerFactory.getLogger(Cluster.class);
    /** Attempts of one term are numbered from the term, so that no two terms ever use a number twice. */
    private static final int TERM_SHIFT = 24;
    /** A machine that fails this many tasks in a row is not trusted any more. */
    public static final int STRIKES = 2;
    /** A job that failed on this many machines in a row is itself at fault. */
    private static final int BAD_JOB_MACHINES = 3;
    /** A machine counts as silent when it has let this many reports be missed. */
    private static final double MISSED_REPORTS = 1.4;
    /** The rate at which jobs come is taken over twice this share of a lease. */
    private static final double RATE_LEASES = 0.5;
    /** Reports of machines that are gone may come late, but not by so many leases. */
    private static final double GONE_LEASES = 20;

    private final Loop loop;
    private final Settings settings;
    private final long term;
    /** Version of the leader's key: jobs accepted later cannot have been started by anyone else. */
    private final long termVersion;
    private final double startedAt;
    /** This node has not stood still since then. */
    private double awakeSince;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    /** Since when machines are gone; the longest ago first. */
    private final Map<String, Double> gone = new LinkedHashMap<>();
    private Map<String, MachineType> types = Map.of();
    /** Machines that may hold tasks of earlier terms and have not been heard in this one. */
    private final Set<Machine> unsettled = new LinkedHashSet<>();
    private final RunTimes runs = new RunTimes();
    private final Arrivals arrivals;
    private long lastAttempt;
    private boolean changed;
    private final Calls calls;
    private final Views views;
    private final Set<Job> unsaved = new LinkedHashSet<>();
    private final Set<Job> complete = new LinkedHashSet<>();
    private final Set<Job> reaching = new LinkedHashSet<>();
    private final Roster roster;
    private final Hearing hearing;

    public Cluster(Loop loop, Settings settings, long term, long termVersion) {
        this.loop = loop;
        this.settings = settings;
        this.term = term;
        this.termVersion = termVersion;
        this.startedAt = loop.now();
        this.awakeSince = startedAt;
        this.arrivals = new Arrivals(RATE_LEASES * settings.leaseS());
        this.calls = new Calls(this, loop, settings);
        this.views = new Views(this, loop, settings);
        this.roster = new Roster(this, loop);
        this.hearing = new Hearing(this, loop, settings);
    }

    public long term() {
        return term;
    }

    public double startedAt() {
        return startedAt;
    }

    public Map<String, MachineType> types() {
        return types;
    }

    public void types(Map<String, MachineType> newTypes) {
        if (!newTypes.equals(types)) {
            types = newTypes;
            machines.values().forEach(Machine::changed);
            changed = true;
        }
    }

    /** Null as long as the machine's type, or all types, are not known. */
    MachineType typeOf(Machine m) {
        return m.type == null ? null : types.get(m.type);
    }

    /** Which machines the next leader must know of. */
    public Roster roster() {
        return roster;
    }

    /** Which machines hear nothing of what they are told. */
    public Hearing hearing() {
        return hearing;
    }

    /** Something has happened that may let a task be placed. */
    void changed() {
        changed = true;
    }

    void callDue(Machine m) {
        calls.due(m);
    }

    public Collection<Machine> machines() {
        return machines.values();
    }

    public Machine machine(String id) {
        return machines.get(id);
    }

    public Collection<Job> jobs() {
        return jobs.values();
    }

    public Job job(String id) {
        return jobs.get(id);
    }

    public boolean isGone(String machine) {
        return gone.containsKey(machine);
    }

    public boolean isUnsettled(Machine m) {
        return unsettled.contains(m);
    }

    Set<Machine> unsettled() {
        return unsettled;
    }

    public int unsettledCount() {
        return unsettled.size();
    }

    /** Whether anything happened since the last call that may let a task be placed. */
    public boolean takeChanged() {
        boolean was = changed;
        changed = false;
        return was;
    }

    /** A machine that may have commands waiting, or null. */
    public Machine nextToCall() {
        return calls.next();
    }

    /** Jobs with finished tasks that the state service does not know of yet. */
    public Set<Job> unsaved() {
        return unsaved;
    }

    /** Jobs with tasks that are placed, and go out once it is written down that they may have. */
    public Set<Job> reaching() {
        return reaching;
    }

    /** The state service knows that tasks of the job up to this one may have been launched. */
    public void reached(Job job, int reach) {
        job.reach = Math.max(job.reach, reach);
        if (job.reach >= job.wantedReach) {
            reaching.remove(job);
        }
        job.placed.values().forEach(a -> calls.due(a.machine));
    }

    /** Open jobs whose tasks are all finished. */
    public Set<Job> complete() {
        return complete;
    }

    // Jobs

    /** @param reach no task from this one on was ever launched */
    public void addJob(JobSpec spec, long version, long submittedMs, BitSet done, int reach) {
        if (jobs.containsKey(spec.id())) {
            return;
        }
        Job job = new Job(spec, version, submittedMs, done, reach);
        jobs.put(spec.id(), job);
        arrivals.saw(spec, version > termVersion, loop.now());
        for (Machine m : machines.values()) {
            for (Attempt a : m.allAttempts()) {
                if (a.task.job().equals(spec.id()) && a.job == null) {
                    throw new IllegalStateException("reports were taken before the jobs were read");
                }
            }
        }
        if (job.complete()) {
            complete.add(job);
        }
        changed = true;
    }

    /** The job is over: nothing of it may run any longer. */
    public void removeJob(String id) {
        Job job = jobs.remove(id);
        if (job == null) {
            return;
        }
        unsaved.remove(job);
        complete.remove(job);
        reaching.remove(job);
        for (Attempt a : new ArrayList<>(job.placed.values())) {
            stop(a, 0, "its job is over");
        }
        for (Attempt a : new ArrayList<>(job.others)) {
            stop(a, 0, "its job is over");
        }
        changed = true;
    }

    /** Marks finished tasks as known to the state service; their attempts need not be kept any more. */
    public void saved(Job job, BitSet tasks) {
        job.saved.or(tasks);
        if (!job.unsaved()) {
            unsaved.remove(job);
        }
    }

    // Machines

    private Machine known(String id) {
        return machines.computeIfAbsent(id, m -> new Machine(m, MISSED_REPORTS * settings.reportS(), loop.now()));
    }

    /**
     * A machine that an earlier leader gave tasks to, or may have. The longer ago it is sure to have existed, the
     * sooner a list of the cloud that lacks it proves that it is gone.
     *
     * @param held all that it can hold, or null when that may be anything
     */
    public void addRoster(String id, double ageS, Set<TaskId> held) {
        Machine m = known(id);
        m.inRoster = held == null;
        m.frozen = held != null;
        m.rosterBusy = true;
        m.held = held;
        m.knownSince = Math.min(m.knownSince, loop.now() - Math.max(0, ageS));
        if (!m.settled) {
            m.answeredAt = Math.max(m.answeredAt, startedAt);
            unsettled.add(m);
            calls.due(m);
        }
    }

    public void rented(String id, String type, String zone, boolean spot, double requestedAt) {
        if (gone.containsKey(id)) {
            return;
        }
        Machine m = known(id);
        m.type = type;
        m.zone = zone;
        m.spot = spot;
        m.rentedAt = requestedAt;
    }

    /** One line of the cloud's list. */
    public void listed(String id, String address, String type, String zone, boolean spot, boolean failed, double ageS) {
        if (gone.containsKey(id)) {
            return;
        }
        Machine m = machines.get(id);
        if (m == null) {
            m = known(id);
            m.rentedAt = loop.now() - ageS;
            LOG.debug("machine {} ({} in {}, spot {}) is in the cloud's list, and was not known", id, type, zone, spot);
        }
        m.type = type;
        m.zone = zone;
        m.spot = spot;
        setAddress(m, address);
        if (isUnsettled(m) && !m.up) {
            calls.due(m);
        }
        if (failed && !m.failed) {
            // A failed machine has stopped of its own accord: nothing on it runs, now or later.
            LOG.debug("machine {} has failed, says the cloud", id);
            m.failed = true;
            release(m);
        }
    }

    /**
     * Drops what a complete list of the cloud lacks. A list may be up to twice the usual delay old, and older than
     * the one before it, so only machines that were known well before the request can be told to be gone.
     */
    public void listedOnly(Set<String> ids, double requestedAt) {
        double before = requestedAt - Settings.stretched(2.25 * settings.listLagS() + settings.reportS());
        for (Machine m : new ArrayList<>(machines.values())) {
            if (!ids.contains(m.id) && m.knownSince < before) {
                gone(m, "the cloud does not list it any more");
            }
        }
    }

    /** The machine does not exist any more, and nothing on it. */
    public void gone(Machine m, String why) {
        LOG.debug("machine {} is gone: {}; it held {} tasks", m.id, why, m.attempts.size());
        release(m);
        machines.remove(m.id);
        gone.put(m.id, loop.now());
        roster.gone(m);
        gone.values().removeIf(since -> since < loop.now() - GONE_LEASES * settings.leaseS());
    }

    private void release(Machine m) {
        for (Attempt a : m.allAttempts()) {
            over(a);
        }
        m.exited.clear();
        m.idleSince = loop.now();
        unsettled.remove(m);
        changed = true;
    }

    /** The cloud has been asked to take the machine back: nothing new may start there. */
    public void returning(Machine m) {
        m.returning = true;
        changed = true;
    }

    /** Ends every machine whose lease must have run out since the last answer that it can have had. */
    public void expireLeases() {
        double now = loop.now();
        for (Machine m : machines.values()) {
            boolean mayHold = m.up || unsettled.contains(m);
            if (mayHold && now > m.answeredAt + Settings.stretched(settings.leaseS()) + settings.reportS() / 30) {
                LOG.debug("machine {} counts as lost: nothing heard, and its lease is over; it held {} tasks", m.id,
                        m.attempts.size());
                m.deadSession = Math.max(m.deadSession, m.session);
                m.up = false;
                release(m);
            }
        }
    }

    /**
     * This node stood still until now. What it did not hear meanwhile is no machine's fault: hundreds would be taken
     * for silent or deaf at once. Leases run on, since they count from what the machines were told.
     */
    public void stoodStill() {
        awakeSince = loop.now();
        machines.values().forEach(m -> m.quietSince = awakeSince);
    }

    double awakeSince() {
        return awakeSince;
    }

    /** Whether most machines that are up have not been heard for a while. */
    public boolean mostlySilent(double forS) {
        int up = 0;
        int silent = 0;
        for (Machine m : machines.values()) {
            if (m.up) {
                up++;
                silent += loop.now() > m.quietSince + forS ? 1 : 0;
            }
        }
        return silent * 2 > up;
    }

    private static void setAddress(Machine m, String address) {
        if (m.address == null && address != null) {
            try {
                m.address = Address.parse("Address", address);
            } catch (InvalidField e) {
                LOG.warn("machine {} has no usable address: {}", m.id, e.getMessage());
            }
        }
    }

    // Reports

    /** Takes a report that the worker sent by itself, and that is going to be answered with 200. */
    public Machine reported(Report r) {
        if (gone.containsKey(r.machine())) {
            return null;
        }
        Machine m = known(r.machine());
        double now = loop.now();
        if (Double.isNaN(m.firstAnsweredAt)) {
            m.firstAnsweredAt = now;
        }
        m.answeredBefore = m.answeredAt;
        // What is older than the newest message was sent before that one came. So however late it is, and whether it
        // is a copy or not, our answer renews the lease for no longer than from then on: copies do not hold for ever.
        m.answeredAt = r.newerThan(m.session, m.seq) ? now : Math.max(m.answeredAt, m.heardAt);
        m.type = r.type();
        m.zone = r.zone();
        m.spot = r.spot();
        setAddress(m, r.address());
        if (r.session() > m.deadSession && r.newerThan(m.reportSession, m.reportSeq)) {
            m.reportSession = r.session();
            m.reportSeq = r.seq();
            m.quietSince = now;
        }
        apply(m, r);
        return m;
    }

    /** Takes the report in a worker's answer to a direct command, which renews no lease. */
    public void answered(Machine m, Report r) {
        if (machines.get(m.id) == m) {
            // A worker that reaches no controller still answers calls. That does not make it one to rely on: its lease
            // runs out. So only the first answer counts, of a machine that is about to find this leader.
            if (m.quietSince == Double.NEGATIVE_INFINITY) {
                m.quietSince = loop.now();
            }
            apply(m, r);
        }
    }

    private void apply(Machine m, Report r) {
        if (r.session() <= m.deadSession || !r.newerThan(m.session, m.seq)) {
            return;
        }
        double now = loop.now();
        if (r.session() > m.session) {
            if (m.session > 0 && !m.attempts.isEmpty()) {
                LOG.debug("machine {} began session {}: what it held is gone", m.id, r.session());
            }
            for (Attempt a : m.allAttempts()) {
                over(a);
            }
            m.exited.clear();
            m.changed();
            // Its lease ran out although its reports were answered: it may not hear us.
            if (m.session > 0 && now < m.answeredBefore + Settings.shrunk(settings.leaseS()) && !m.deaf) {
                hearing.suspect(m);
            }
            m.session = r.session();
            // Whatever the machine was told last, a session that is new here may have begun a moment ago, with a lease
            // of its own from then on.
            m.answeredAt = Math.max(m.answeredAt, now);
        }
        m.seq = r.seq();
        m.heardAt = now;
        if (!m.up) {
            m.up = true;
            m.upAt = Double.isNaN(m.upAt) ? now : m.upAt;
            m.idleSince = now;
            changed = true;
            LOG.debug("machine {} is up after {} s ({} in {}, spot {})", m.id, Math.round(now - m.rentedAt), m.type,
                    m.zone, m.spot);
        }
        boolean noticedNow = false;
        if (r.noticeS() != null) {
            if (!m.noticed()) {
                LOG.debug("machine {} is to be taken back in {} s", m.id, r.noticeS());
                changed = true;
                noticedNow = true;
            }
            m.noticeUntil = now + r.noticeS();
        }
        boolean settledNow = !m.settled && r.token() >= term;
        if (settledNow) {
            hearing.hears(m);
        }
        if ((m.settled || settledNow) && !m.inRoster) {
            roster.enter(m);
        }
        // Most reports say nothing new, and there are hundreds in a second.
        if (!settledNow && !noticedNow && r.tasks().equals(m.applied)) {
            if (calls.needsCall(m)) {
                calls.due(m);
            }
            return;
        }
        m.host = null;
        Set<TaskId> seen = new HashSet<>();
        for (Report.Task t : r.tasks()) {
            seen.add(t.task());
            apply(m, t);
        }
        for (Attempt a : m.allAttempts()) {
            if (!seen.contains(a.task) && (a.state != Attempt.State.SENDING)) {
                over(a);
            }
        }
        m.exited.values().removeIf(a -> !seen.contains(a.task) && !a.launchMayArrive());
        m.applied = r.tasks();
        if (noticedNow) {
            drain(m, r.noticeS());
        }
        if (settledNow) {
            m.settled = true;
            unsettled.remove(m);
            changed = true;
        }
        if (m.settled) {
            stopDuplicates(m);
        }
        if (m.attempts.isEmpty() != Double.isFinite(m.idleSince)) {
            m.idleSince = m.attempts.isEmpty() ? now : Double.POSITIVE_INFINITY;
        }
        if (calls.needsCall(m)) {
            calls.due(m);
        }
    }

    private void apply(Machine m, Report.Task t) {
        Attempt a = m.attempts.get(t.task());
        Job job = jobs.get(t.task().job());
        boolean inRange = job != null && t.task().index() < job.spec.tasks();
        if (a == null || a.number != t.attempt()) {
            Attempt old = m.exited.get(t.task());
            if (old != null && old.number == t.attempt() && t.state() == Report.State.EXITED) {
                return;
            }
            a = new Attempt(t.task(), t.attempt(), m, inRange ? job.spec : null, loop.now());
            if (t.state() == Report.State.EXITED) {
                exited(a, t.why(), inRange ? job : null);
                return;
            }
            adopt(a, inRange ? job : null);
        }
        if (a.state == Attempt.State.SENDING) {
            hearing.hears(m);
        }
        switch (t.state()) {
            case FETCHING -> a.state = Attempt.State.FETCHING;
            case RUNNING -> {
                if (a.state != Attempt.State.RUNNING) {
                    a.fromStart = a.number >> TERM_SHIFT == term;
                    a.state = Attempt.State.RUNNING;
                    if (job != null) {
                        job.begun = true;
                    }
                    a.runningSince = loop.now();
                    useImage(m, a);
                }
            }
            case SAVING -> a.state = Attempt.State.SAVING;
            default -> exited(a, t.why(), inRange ? job : null);
        }
    }

    private void useImage(Machine m, Attempt a) {
        MachineType type = typeOf(m);
        if (a.job != null && type != null) {
            m.usesImage(a.job.image(), a.job.imageGb(), type.cacheGb());
        }
    }

    /** A task is on a machine without this leader having put it there: it was left by an earlier one. */
    private void adopt(Attempt a, Job job) {
        Attempt other = a.machine.attempts.put(a.task, a);
        a.machine.changed();
        a.sent = true;
        if (job == null) {
            stop(a, 0, "its job is over");
            return;
        }
        job.enter(a);
        if (other != null) {
            job.leave(other);
        }
        if (job.done.get(a.task.index())) {
            stop(a, 0, "it is done already");
        }
    }

    /**
     * Stops what is in two places. As long as one of the machines is not settled, what it shows may be over: a late
     * copy of an old report must not end what truly runs.
     */
    private void stopDuplicates(Machine m) {
        for (Attempt a : m.allAttempts()) {
            Job job = jobs.get(a.task.job());
            if (job == null || job.others.isEmpty()) {
                continue;
            }
            Attempt placed = job.placed.get(a.task.index());
            for (Attempt o : job.attemptsAt(a.task.index())) {
                if (o != placed && o.machine.settled && placed.machine.settled && !o.stopping && !placed.stopping) {
                    LOG.warn("task {} is on {} and also on {}: stopped there", o.task, placed.machine.id, o.machine.id);
                    stop(o, 0, "it is elsewhere");
                }
            }
        }
    }

    private void exited(Attempt a, Report.Why why, Job job) {
        Machine m = a.machine;
        boolean wasStopping = a.stopping;
        boolean mine = m.attempts.get(a.task) == a;
        a.state = Attempt.State.EXITED;
        m.exited.put(a.task, a);
        changed = true;
        if (job != null && why == Report.Why.DONE) {
            a.done = true;
            runs.learn(a, loop.now());
            if (!job.done.get(a.task.index())) {
                job.done.set(a.task.index());
                job.waiting.clear(a.task.index());
                (job.complete() ? complete : unsaved).add(job);
                for (Attempt other : job.attemptsAt(a.task.index())) {
                    if (other != a) {
                        stop(other, 0, "it is done already");
                    }
                }
            }
            job.failedOn.clear();
            job.backOffs = 0;
            m.strikes = 0;
        }
        over(a);
        if (mine && why == Report.Why.ERROR && !wasStopping && job != null) {
            failure(m, job, a);
        } else if (mine && (why == Report.Why.NO_ROOM || why == Report.Why.BUSY || why == Report.Why.UNKNOWN)) {
            LOG.debug("machine {} refused task {}: {}", m.id, a.task, why);
            m.suspendedUntil = loop.now() + settings.reportS();
        }
    }

    /** Tells a bad machine, which fails whatever it is given, from a bad job, which fails wherever it runs. */
    private void failure(Machine m, Job job, Attempt a) {
        job.failedOn.add(m.id);
        if (job.failedOn.size() >= BAD_JOB_MACHINES) {
            job.backOffs = Math.min(job.backOffs + 1, 6);
            // Never for long: it may have been the machines after all, and their trouble may be over.
            job.backOffUntil = loop.now() + Math.min(settings.leaseS(), settings.reportS() * (1 << job.backOffs));
            LOG.info("job {} failed on {} machines: backing off", job.spec.id(), job.failedOn.size());
            return;
        }
        m.strikes++;
        m.suspendedUntil = loop.now() + settings.reportS() * 2 * m.strikes;
        LOG.debug("task {} failed on {}; failures there in a row: {}", a.task, m.id, m.strikes);
    }

    /** Nothing of the attempt runs or can come to run: the task may be placed again unless it is done. */
    void over(Attempt a) {
        Machine m = a.machine;
        m.changed();
        m.attempts.remove(a.task, a);
        if (m.attempts.isEmpty() && !Double.isFinite(m.idleSince)) {
            m.idleSince = loop.now();
        }
        changed = true;
        Job job = jobs.get(a.task.job());
        if (job != null && a.task.index() < job.spec.tasks()) {
            job.leave(a);
        }
    }

    // Orders

    public void place(TaskId task, String machineId) {
        place(task, machineId, false);
    }

    public void place(TaskId task, String machineId, boolean overdue) {
        Machine m = machines.get(machineId);
        Job job = jobs.get(task.job());
        if (m == null || job == null || !job.waiting.get(task.index()) || !m.usable(loop.now())) {
            return;
        }
        Attempt a = new Attempt(task, (term << TERM_SHIFT) + ++lastAttempt, m, job.spec, loop.now());
        a.overdue = overdue;
        job.enter(a);
        m.attempts.put(task, a);
        m.changed();
        m.idleSince = Double.POSITIVE_INFINITY;
        useImage(m, a);
        if (job.launchable(task.index())) {
            calls.due(m);
        } else {
            job.wantReach(task.index());
            reaching.add(job);
        }
    }

    public void stop(TaskId task, String machineId, String why) {
        Machine m = machines.get(machineId);
        Attempt a = m == null ? null : m.attempts.get(task);
        if (a != null) {
            double grace = a.job != null && a.job.saves() ? a.job.saveS() + settings.reportS() : 0;
            stop(a, grace, why);
        }
    }

    private void stop(Attempt a, double graceS, String why) {
        if (!a.stopping) {
            LOG.debug("stopping task {} on {}: {}", a.task, a.machine.id, why);
        } else if (graceS >= a.graceS) {
            return;
        }
        a.stopping = true;
        a.machine.changed();
        a.graceS = graceS;
        a.stopSentAt = Double.NEGATIVE_INFINITY;
        if (a.state == Attempt.State.SENDING && !a.sent) {
            over(a);
        } else {
            calls.due(a.machine);
        }
    }

    /**
     * The cloud is going to take a machine away: tasks that save do so now, and those that cannot end in time go
     * elsewhere at once. The notice may be off by half, so only what needs clearly less is left to run to its end.
     */
    private void drain(Machine m, double noticeS) {
        double now = loop.now();
        for (Attempt a : m.allAttempts()) {
            if (a.job == null || a.stopping) {
                continue;
            }
            double left = runs.remainingS(a, now);
            if (a.job.saves() ? left > noticeS / 2 : left > noticeS * 3 / 2) {
                stop(a.task, m.id, "the machine is to be taken back");
            }
        }
    }

    /** Whether everything on a machine saves its work, has run for a while and will run on, and may go anywhere. */
    public boolean movable(Machine m, double leastRunS) {
        double now = loop.now();
        if (m.empty() || !m.usable(now)) {
            return false;
        }
        for (Attempt a : m.attempts.values()) {
            boolean free = a.job.saves() && !a.job.oneZone() && !a.job.spread();
            if (!free || a.stopping || a.state != Attempt.State.RUNNING || now < a.runningSince + leastRunS
                    || runs.remainingS(a, now) < 4 * a.job.saveS()) {
                return false;
            }
        }
        return true;
    }

    /** Stops what is on a machine, with time to save, so that it goes on elsewhere. */
    public void empty(Machine m) {
        m.draining = true;
        for (Attempt a : m.allAttempts()) {
            stop(a.task, m.id, "the machine is to be returned");
        }
    }

    public Arrivals arrivals() {
        return arrivals;
    }

    double remainingS(Attempt a, double now) {
        return runs.remainingS(a, now);
    }

    public double lastsS(JobSpec job) {
        return runs.lastsS(job);
    }

    // Calls

    /** A direct call that is ready to go, with the launches in it. */
    public record Call(Machine machine, long session, List<Command> commands, List<Attempt> launches) {}

    /** What to send to a machine now, or null. */
    public Call call(Machine m) {
        return calls.call(m);
    }

    /** What became of a call: 200, 409, not sent, or anything else, which may yet be carried out. */
    public void called(Call call, boolean executed, boolean surelyNot, Report report) {
        calls.called(call, executed, surelyNot, report);
    }

    /** Machines whose calls failed and may be tried again. */
    public void retryCalls() {
        calls.retry();
    }

    /** Commands for the answer to a report: stops, what may be forgotten, and launches whose delivery is in doubt. */
    public List<Command> responseCommands(Machine m) {
        return calls.responseCommands(m);
    }

    // Views

    /** Machines of earlier terms that are not accounted for may still hold tasks that are older than this term. */
    boolean mayBeUnseen(Job job) {
        return !unsettled.isEmpty() && job.version < termVersion;
    }

    /** Whether a task of the job may be on a machine that is not accounted for, in a zone that nobody knows here. */
    boolean zoneUnseen(Job job) {
        return mayBeUnseen(job) && unsettled.stream().anyMatch(m -> m.held == null ? !job.launchedBefore().isEmpty()
                : m.held.stream().anyMatch(t -> t.job().equals(job.spec.id()) && job.waiting.get(t.index())));
    }

    /** Whether one of the machines not accounted for may hold anything, and not only what was written down. */
    boolean anythingUnseen() {
        return unsettled.stream().anyMatch(m -> m.held == null);
    }

    public String summary() {
        return views.summary();
    }

    public Room freeOn(Machine m) {
        return views.freeOn(m);
    }

    public List<Forecast.Line> lines(double lateBoot, boolean released) {
        return views.lines(lateBoot, released);
    }

    public List<Displaced.Running> runningOn(Set<String> someTypes) {
        return views.runningOn(someTypes);
    }

    public List<Host> hosts() {
        return views.hosts();
    }

    /** @param written whether it can be written down that more tasks may be launched; if not, they have to wait */
    public List<Pending> pending(boolean written) {
        return views.pending(written);
    }

    public Map<String, Team> teams(Tuning tuning, Map<String, Double> weights) {
        return views.teams(tuning, weights);
    }
}
