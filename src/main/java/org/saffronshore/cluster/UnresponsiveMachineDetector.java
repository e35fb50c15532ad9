package org.saffronshore.cluster;

import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Finds the machines that are heard and yet hear nothing. */
public final class UnresponsiveMachineDetector {
  private static final Logger LOG = LoggerFactory.getLogger(UnresponsiveMachineDetector.class);

  /** A machine that shows no sign of having heard us for so many reports counts as deaf. */
  private static final double UNRESPONSIVE_REPORTS = 3;

  /** When more than this share of the machines seem deaf, it is this node that is not heard. */
  private static final double UNRESPONSIVE_SHARE = 0.05;

  private final Cluster cluster;
  private final EventLoop loop;
  private final Settings settings;

  UnresponsiveMachineDetector(Cluster cluster, EventLoop loop, Settings settings) {
    this.cluster = cluster;
    this.loop = loop;
    this.settings = settings;
  }

  /**
   * Looks for machines that report and yet hear nothing: their reports come, but the term's token
   * does not show, or what they are told does not happen. They get no new work, and are returned.
   * Their tasks are placed again when the cloud has answered that, or, in the term that started
   * them, with the machine's next session: launches name the session, so none of ours can arrive in
   * a later one. A session that is new to this term proves nothing of what earlier leaders did:
   * they may have known it, and a launch of theirs may still arrive there as long as the machine
   * has not seen our token. So that is not relied on.
   */
  public void detect() {
    double now = loop.now();
    double patience = UNRESPONSIVE_REPORTS * settings.heartbeatIntervalS();
    for (Machine m : cluster.machines()) {
      if (!m.up || m.unresponsive || m.isSilent(now)) {
        continue;
      }
      boolean unconfirmedTooLong = !m.reconciled && since(m.firstLeaseRenewalAt) > patience;
      if (unconfirmedTooLong
          || m.attempts.values().stream()
              .anyMatch(
                  a ->
                      a.state == Attempt.State.LAUNCHING
                          && a.deliveryUnknown
                          && since(a.placedAt) > patience)) {
        markUnresponsive(m);
      }
    }
  }

  /**
   * For how long a machine has had the chance to receive commands: none while this node stood
   * still.
   */
  private double since(double moment) {
    return loop.now() - Math.max(moment, cluster.resumedAt());
  }

  void markUnresponsive(Machine m) {
    LOG.debug("machine {} does not seem to receive commands", m.id);
    m.unresponsive = true;
    m.unresponsiveSince = loop.now();
    m.invalidateView();
    cluster.markChanged();
    cluster.commandsDue(m);
  }

  /** There is proof that something we said has reached the machine. */
  void markResponsive(Machine m) {
    if (m.unresponsive) {
      m.unresponsive = false;
      cluster.markChanged();
    }
  }

  /**
   * Whether a machine has not heard us for so long that it is of no use. Should many seem deaf,
   * then it is we who cannot be heard, and the machines are not to blame.
   */
  public boolean isUnusable(Machine m) {
    if (!m.unresponsive || since(m.unresponsiveSince) < 2 * settings.heartbeatIntervalS()) {
      return false;
    }
    long unresponsive = cluster.machines().stream().filter(other -> other.unresponsive).count();
    return unresponsive <= Math.max(2, cluster.machines().size() * UNRESPONSIVE_SHARE);
  }
}
