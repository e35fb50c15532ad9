package org.saffronshore.cluster;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.Set;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.Heartbeat;
import org.saffronshore.wire.MachineType;
import org.saffronshore.wire.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a worker's report says, brought into the cluster: sessions, tasks that run, tasks that are
 * over and why.
 */
final class HeartbeatReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatReconciler.class);

  /** A job that failed on this many machines in a row is itself at fault. */
  private static final int BAD_JOB_MACHINES = 3;

  /** Exits that say that the machine did not start the task. */
  private static final Set<Heartbeat.ExitReason> REFUSED =
      EnumSet.of(
          Heartbeat.ExitReason.INSUFFICIENT_RESOURCES,
          Heartbeat.ExitReason.ALREADY_RUNNING,
          Heartbeat.ExitReason.UNKNOWN_TASK);

  private final Cluster cluster;
  private final EventLoop loop;
  private final Settings settings;

  HeartbeatReconciler(Cluster cluster, EventLoop loop, Settings settings) {
    this.cluster = cluster;
    this.loop = loop;
    this.settings = settings;
  }

  /** Takes a report that the worker sent by itself, and that is going to be answered with 200. */
  Machine heartbeatReceived(Heartbeat r) {
    if (cluster.isRemoved(r.machine())) {
      return null;
    }
    Machine m = cluster.getOrCreate(r.machine());
    double now = loop.now();
    if (Double.isNaN(m.firstLeaseRenewalAt)) {
      m.firstLeaseRenewalAt = now;
    }
    m.previousLeaseRenewalAt = m.leaseRenewedAt;
    // What is older than the newest message was sent before that one came. So however late it is,
    // and whether it
    // is a copy or not, our answer renews the lease for no longer than from then on: copies do not
    // hold for ever.
    m.leaseRenewedAt =
        r.isNewerThan(m.epoch, m.sequence) ? now : Math.max(m.leaseRenewedAt, m.lastHeardAt);
    m.type = r.type();
    m.zone = r.zone();
    m.spot = r.spot();
    MachineTable.setAddress(m, r.address());
    if (r.epoch() > m.lastExpiredEpoch && r.isNewerThan(m.heartbeatEpoch, m.heartbeatSequence)) {
      m.heartbeatEpoch = r.epoch();
      m.heartbeatSequence = r.sequence();
      m.lastHeartbeatAt = now;
    }
    apply(m, r);
    return m;
  }

  /** Takes the report in a worker's answer to a direct command, which renews no lease. */
  void directStatusReceived(Machine m, Heartbeat r) {
    if (cluster.machine(m.id) == m) {
      // A worker that reaches no controller still answers calls. That does not make it one to rely
      // on: its lease
      // runs out. So only the first answer counts, of a machine that is about to find this leader.
      if (m.lastHeartbeatAt == Double.NEGATIVE_INFINITY) {
        m.lastHeartbeatAt = loop.now();
      }
      apply(m, r);
    }
  }

  private void apply(Machine m, Heartbeat r) {
    if (r.epoch() <= m.lastExpiredEpoch || !r.isNewerThan(m.epoch, m.sequence)) {
      return;
    }
    if (r.epoch() > m.epoch) {
      beginSession(m, r.epoch());
    }
    m.sequence = r.sequence();
    m.lastHeardAt = loop.now();
    if (!m.up) {
      markUp(m);
    }
    boolean noticedNow = noticed(m, r);
    boolean confirmedNow = !m.reconciled && r.fencingToken() >= cluster.term();
    if (confirmedNow) {
      cluster.unresponsiveMachines().markResponsive(m);
    }
    if ((m.reconciled || confirmedNow) && !m.registered) {
      cluster.registry().register(m);
    }
    // Most reports say nothing new, and there are hundreds in a second.
    if (confirmedNow || noticedNow || !r.tasks().equals(m.lastAppliedTasks)) {
      applyNews(m, r, noticedNow, confirmedNow);
    }
    if (cluster.hasCommands(m)) {
      cluster.commandsDue(m);
    }
  }

  private void applyNews(Machine m, Heartbeat r, boolean noticedNow, boolean confirmedNow) {
    applyTasks(m, r);
    if (noticedNow) {
      cluster.handlePreemptionNotice(m, r.preemptionNoticeS());
    }
    if (confirmedNow) {
      LOG.debug(
          "machine {} is accounted for: token={} session={} sequence={} tasks={}",
          m.id,
          r.fencingToken(),
          r.epoch(),
          r.sequence(),
          r.tasks());
      m.reconciled = true;
      cluster.unreconciled().remove(m);
      cluster.markChanged();
    }
    if (m.reconciled) {
      stopDuplicates(m);
    }
    if (m.attempts.isEmpty() != Double.isFinite(m.idleSince)) {
      m.idleSince = m.attempts.isEmpty() ? loop.now() : Double.POSITIVE_INFINITY;
    }
  }

  /** Everything that the machine held in an earlier session is gone. */
  private void beginSession(Machine m, long session) {
    double now = loop.now();
    if (m.epoch > 0 && !m.attempts.isEmpty()) {
      LOG.debug(
          "machine {} began session {}: what it held is gone: {}",
          m.id,
          session,
          m.attempts.keySet());
    }
    m.allAttempts().forEach(cluster::endAttempt);
    m.exited.clear();
    m.invalidateView();
    // Its lease ran out although its reports were answered: it may receive nothing.
    if (m.epoch > 0
        && now < m.previousLeaseRenewalAt + Settings.minLocalDuration(settings.workerLeaseS())
        && !m.unresponsive) {
      cluster.unresponsiveMachines().markUnresponsive(m);
    }
    m.epoch = session;
    // Whatever the machine was told last, a session that is new here may have begun a moment ago,
    // with a lease of its own from then on.
    m.leaseRenewedAt = Math.max(m.leaseRenewedAt, now);
  }

  private void markUp(Machine m) {
    double now = loop.now();
    m.up = true;
    m.upAt = Double.isNaN(m.upAt) ? now : m.upAt;
    m.idleSince = now;
    cluster.markChanged();
    LOG.debug(
        "machine {} is up after {} s ({} in {}, spot {})",
        m.id,
        Math.round(now - m.rentedAt),
        m.type,
        m.zone,
        m.spot);
  }

  /** Takes a notice that the cloud will take the machine back; true when it is the first one. */
  private boolean noticed(Machine m, Heartbeat r) {
    if (r.preemptionNoticeS() == null) {
      return false;
    }
    boolean first = !m.hasPreemptionNotice();
    if (first) {
      LOG.debug("machine {} is to be taken back in {} s", m.id, r.preemptionNoticeS());
      cluster.markChanged();
    }
    m.preemptionAt = loop.now() + r.preemptionNoticeS();
    return first;
  }

  private void applyTasks(Machine m, Heartbeat r) {
    m.cachedView = null;
    Set<TaskId> seen = new HashSet<>();
    for (Heartbeat.TaskStatus t : r.tasks()) {
      seen.add(t.task());
      apply(m, t);
    }
    for (Attempt a : m.allAttempts()) {
      if (!seen.contains(a.task) && a.state != Attempt.State.LAUNCHING) {
        cluster.endAttempt(a);
      }
    }
    m.exited.values().removeIf(a -> !seen.contains(a.task) && !a.launchMayArrive());
    m.lastAppliedTasks = r.tasks();
  }

  private void apply(Machine m, Heartbeat.TaskStatus t) {
    Job known = cluster.job(t.task().job());
    Job job = known != null && t.task().index() < known.spec.tasks() ? known : null;
    Attempt a = m.attempts.get(t.task());
    if (a == null || a.number != t.attempt()) {
      Attempt old = m.exited.get(t.task());
      if (old != null && old.number == t.attempt() && t.state() == Heartbeat.TaskState.EXITED) {
        return;
      }
      a = new Attempt(t.task(), t.attempt(), m, job == null ? null : job.spec, loop.now());
      if (t.state() == Heartbeat.TaskState.EXITED) {
        exited(a, t.exitReason(), job);
        return;
      }
      adopt(a, job);
    }
    if (a.state == Attempt.State.LAUNCHING) {
      cluster.unresponsiveMachines().markResponsive(m);
    }
    switch (t.state()) {
      case PULLING_IMAGE -> a.state = Attempt.State.PULLING_IMAGE;
      case RUNNING -> running(a, known);
      case CHECKPOINTING -> a.state = Attempt.State.CHECKPOINTING;
      default -> exited(a, t.exitReason(), job);
    }
  }

  private void running(Attempt a, Job job) {
    if (a.state == Attempt.State.RUNNING) {
      return;
    }
    a.observedFromStart = a.number >> Cluster.TERM_SHIFT == cluster.term();
    a.state = Attempt.State.RUNNING;
    if (job != null) {
      job.hasStarted = true;
    }
    a.runningSince = loop.now();
    useImage(a.machine, a);
  }

  void useImage(Machine m, Attempt a) {
    MachineType type = cluster.typeOf(m);
    if (a.job != null && type != null) {
      m.recordImageUse(a.job.image(), a.job.imageGb(), type.cacheGb());
    }
  }

  /**
   * A task is on a machine without this leader having put it there: it was left by an earlier one.
   */
  private void adopt(Attempt a, Job job) {
    Attempt other = a.machine.attempts.put(a.task, a);
    a.machine.invalidateView();
    a.launchSent = true;
    if (job == null) {
      cluster.stop(a, 0, "its job is over");
      return;
    }
    job.addAttempt(a);
    if (other != null) {
      job.removeAttempt(other);
    }
    if (job.finishedTasks.get(a.task.index())) {
      cluster.stop(a, 0, "it is done already");
    }
  }

  /**
   * Stops what is in two places. As long as one of the machines is not confirmed, what it shows may
   * be over: a late copy of an old report must not end what truly runs.
   */
  private void stopDuplicates(Machine m) {
    for (Attempt a : m.allAttempts()) {
      Job job = cluster.job(a.task.job());
      if (job == null || job.duplicateAttempts.isEmpty()) {
        continue;
      }
      Attempt placed = job.placed.get(a.task.index());
      for (Attempt o : job.attemptsAt(a.task.index())) {
        if (o != placed
            && o.machine.reconciled
            && placed.machine.reconciled
            && !o.stopping
            && !placed.stopping) {
          LOG.warn(
              "task {} is on {} and also on {}: stopped there",
              o.task,
              placed.machine.id,
              o.machine.id);
          cluster.stop(o, 0, "it is elsewhere");
        }
      }
    }
  }

  private void exited(Attempt a, Heartbeat.ExitReason why, Job job) {
    Machine m = a.machine;
    boolean wasStopping = a.stopping;
    boolean mine = m.attempts.get(a.task) == a;
    a.state = Attempt.State.EXITED;
    m.exited.put(a.task, a);
    cluster.markChanged();
    if (job != null && why == Heartbeat.ExitReason.COMPLETED) {
      done(a, job);
    }
    cluster.endAttempt(a);
    if (mine && why == Heartbeat.ExitReason.FAILED && !wasStopping && job != null) {
      failure(m, job, a);
    } else if (mine && REFUSED.contains(why)) {
      LOG.debug("machine {} refused task {}: {}", m.id, a.task, why);
      m.backoffUntil = loop.now() + settings.heartbeatIntervalS();
    }
  }

  private void done(Attempt a, Job job) {
    int index = a.task.index();
    a.done = true;
    cluster.runtimeEstimator().learn(a, loop.now());
    if (!job.finishedTasks.get(index)) {
      job.finishedTasks.set(index);
      job.waitingTasks.clear(index);
      (job.isComplete() ? cluster.completedJobs() : cluster.jobsWithUnsavedTasks()).add(job);
      for (Attempt other : job.attemptsAt(index)) {
        if (other != a) {
          cluster.stop(other, 0, "it is done already");
        }
      }
    }
    job.failedOn.clear();
    job.backoffCount = 0;
    a.machine.consecutiveFailures = 0;
  }

  /**
   * Tells a bad machine, which fails whatever it is given, from a bad job, which fails wherever it
   * runs.
   */
  private void failure(Machine m, Job job, Attempt a) {
    job.failedOn.add(m.id);
    if (job.failedOn.size() >= BAD_JOB_MACHINES) {
      job.backoffCount = Math.min(job.backoffCount + 1, 6);
      // Never for long: it may have been the machines after all, and their trouble may be over.
      job.backoffUntil =
          loop.now()
              + Math.min(
                  settings.workerLeaseS(), settings.heartbeatIntervalS() * (1 << job.backoffCount));
      LOG.info("job {} failed on {} machines: backing off", job.spec.id(), job.failedOn.size());
      return;
    }
    m.consecutiveFailures++;
    m.backoffUntil = loop.now() + settings.heartbeatIntervalS() * 2 * m.consecutiveFailures;
    LOG.debug(
        "task {} failed on {}; failures there in a row: {}", a.task, m.id, m.consecutiveFailures);
  }
}
