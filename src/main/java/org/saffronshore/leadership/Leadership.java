package org.saffronshore.leadership;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.state.StateClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leader election. Decides whether this controller may act for the deployment.
 *
 * <p>The leader key in the state service is attached to a lease, the store lease. The transaction
 * that sets the key increments the term, which is the fencing token of commands to workers. A
 * leader may act while its store lease is provably valid, counted from when it sent the last
 * successful renewal, on a clock that may run slow. After that it may act only while a quorum of
 * controllers grants it their leases (see {@link QuorumLease}).
 *
 * <p>Two leaders never act at the same time. A new leader claims the leader key only when the key
 * is missing, so the store lease of the last leader has ended by then. The last leader has stopped
 * relying on it before, since it counts the lease from an earlier moment and for a shorter
 * duration. Unless it claims the first term, the new leader also needs one of the following:
 *
 * <ul>
 *   <li>Proof that the process that led last does not act any more. Either another incarnation of
 *       its controller has voted, so that process has ended, and a process that has ended does not
 *       act. Or the process that led last was one of the new leader's own controller: an earlier
 *       incarnation, which has ended, or this process itself, which has stepped down.
 *   <li>The leases of a quorum. Any two quorums have a controller in common. If that controller
 *       granted its lease to the last leader earlier, that lease has ended at the controller, since
 *       it grants its lease to one process at a time (see {@link LeaseGrants}). The lease ended
 *       even earlier for its holder, so the last leader has no quorum any more. A restarted
 *       controller grants nothing until every lease that its earlier incarnation may have granted
 *       has ended.
 * </ul>
 *
 * <p>The section "Who leads" of docs/design.md has the whole argument, and describes outages.
 */
public final class Leadership {

  /** Is notified, on the event loop, when this controller starts or stops leading. */
  public interface Listener {
    /**
     * Called when this controller was elected and leads the term.
     *
     * @param leaderKeyVersion the version of the leader key; every earlier leader had stopped
     *     acting before that revision
     */
    void onElected(long term, long leaderKeyVersion);

    /** Called when this controller has stepped down. */
    void onSteppedDown(String reason);
  }

  /**
   * The current role of this controller. The transitions are {@link #onLeaderKeyMissing} (follower
   * to candidate), {@link #onCampaignEnded} (candidate to leader or follower), and {@link
   * #stepDown} (leader to follower).
   */
  private enum Role {
    /** Follows the leader key, or waits before it does. */
    FOLLOWER,
    CANDIDATE,
    LEADER
  }

  private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

  /**
   * The duration of the leader's lease as a fraction of a worker's lease. A new leader must be
   * elected before the leases of the workers expire.
   */
  private static final double LEASE_SHARE_OF_WORKER_LEASE = 1.0 / 5;

  private static final double MIN_LEASE_DURATION_S = 0.1;

  private final EventLoop loop;
  private final Settings settings;
  private final Listener listener;
  private final PeerVoting peerVoting;
  private final double leaseDurationS;
  private final ControllerProcess self;
  private final RetryDelays delays;
  private final LeaseGrants leaseGrants;
  private final QuorumLease quorumLease;
  private final StoreLease storeLease;
  private final LeaderWatch leaderWatch;
  private final Election election;

  private Role role = Role.FOLLOWER;

  /** The term that this controller leads or led last; 0 if it has not led any. */
  private long term;

  private long leaderKeyVersion;
  private double renewalsAllowedUntil = Double.NEGATIVE_INFINITY;
  private double noCampaignUntil = Double.NEGATIVE_INFINITY;

  /** Creates a follower, which takes part in elections once {@link #start} is called. */
  public Leadership(
      EventLoop loop,
      StateClient state,
      Settings settings,
      RandomGenerator random,
      Listener listener,
      PeerVoting peerVoting) {
    this.loop = loop;
    this.settings = settings;
    this.listener = listener;
    this.peerVoting = peerVoting;
    this.leaseDurationS =
        Math.max(MIN_LEASE_DURATION_S, settings.workerLeaseS() * LEASE_SHARE_OF_WORKER_LEASE);
    this.self = new ControllerProcess(settings.node(), Long.toHexString(random.nextLong()));
    this.delays = new RetryDelays(random, leaseDurationS);
    Quorum quorum = new Quorum(settings.controllerCount());
    this.leaseGrants = new LeaseGrants(loop, leaseDurationS);
    this.quorumLease = new QuorumLease(leaseDurationS, quorum);
    this.storeLease =
        new StoreLease(loop, state, leaseDurationS, () -> stepDown("store lease has expired"));
    this.leaderWatch =
        new LeaderWatch(loop, state, self, delays, leaseDurationS, this::onLeaderKeyMissing);
    this.election =
        new Election(
            self,
            quorum,
            state,
            leaseGrants,
            peerVoting,
            new StateServiceVoting(loop, state, self, leaseDurationS / 2, leaseGrants::tryGrant),
            new LeaderKeyClaim(loop, state, self, leaseDurationS),
            this::onCampaignEnded);
  }

  /** Starts to follow the leader key, and to campaign whenever the key is missing. */
  public void start() {
    leaderWatch.followLeaderKey();
  }

  /**
   * Returns whether this controller leads and no other controller may act, since its store lease or
   * the leases of a quorum are valid.
   */
  public boolean holdsLease() {
    double now = loop.now();
    return isLeading() && (storeLease.isValid() || now < quorumLease.validUntil());
  }

  /**
   * Returns whether this controller may act for the deployment at this moment. It must hold a
   * lease, and its information on cancellations must be recent enough, see {@link
   * #allowRenewalsUntil}.
   */
  public boolean isActive() {
    return holdsLease() && loop.now() < renewalsAllowedUntil;
  }

  /**
   * Returns whether this controller leads and its store lease is valid, regardless of the leases of
   * a quorum.
   */
  public boolean holdsStoreLease() {
    return isLeading() && storeLease.isValid();
  }

  /**
   * Sets the deadline until which this leader may renew the leases of workers and launch tasks,
   * regardless of the leases that it holds itself. A renewal or launch after the deadline could
   * keep a task running for too long that was cancelled without this leader's knowledge.
   *
   * @param deadline in seconds on the event loop's clock
   */
  public void allowRenewalsUntil(double deadline) {
    renewalsAllowedUntil = deadline;
  }

  /** Returns the identifier that distinguishes this process from earlier ones of its controller. */
  public String incarnation() {
    return self.incarnation();
  }

  /**
   * Records that a peer granted its lease to this leader. Ignored while this controller does not
   * lead.
   *
   * @param requestedAt when the request was sent, in seconds on the event loop's clock
   */
  public void recordGrant(String peer, double requestedAt) {
    if (isLeading()) {
      quorumLease.recordGrant(peer, requestedAt);
    }
  }

  /**
   * Grants the lease of this controller to a peer, unless this controller holds a lease as leader
   * or another process may hold the lease of this controller. Leases are meant for outages of the
   * state service that affect all controllers. While the state service serves this controller, a
   * requester that it does not serve is refused, and so is a leader whose term is not that of the
   * leader key as this controller last read it.
   *
   * @param stateServiceAvailable whether the state service serves this controller
   * @return whether the lease was granted or renewed
   */
  public boolean grantLease(LeaseRequest request, boolean stateServiceAvailable) {
    if (holdsLease()) {
      return false;
    }
    if (stateServiceAvailable) {
      boolean keyMatches =
          request.role() == LeaseRequest.Role.CANDIDATE
              || request.term() == leaderWatch.leaderTerm();
      if (!request.stateServiceAvailable() || !keyMatches) {
        return false;
      }
    }
    return leaseGrants.tryGrant(request.requester(), request.term());
  }

  /**
   * Releases the lease that was granted to a peer for a term. The peer has withdrawn from the term,
   * so it will not act on the lease any more.
   */
  public void recordWithdrawal(ControllerProcess requester, long withdrawnTerm) {
    leaseGrants.releaseIfHeldBy(requester, withdrawnTerm);
  }

  /** Returns whether this controller was elected and has not stepped down; it may be inactive. */
  public boolean isLeading() {
    return role == Role.LEADER;
  }

  /** Returns the term that this controller leads or led last; 0 if it has not led any. */
  public long term() {
    return term;
  }

  /** Returns the version of the leader key in the term that this controller leads or led last. */
  public long leaderKeyVersion() {
    return leaderKeyVersion;
  }

  /** Returns the controller that is known to lead; empty if none is known. */
  public Optional<String> leaderNode() {
    if (isLeading()) {
      return isActive() ? Optional.of(self.node()) : Optional.empty();
    }
    return Optional.ofNullable(leaderWatch.leaderNode());
  }

  private void onLeaderKeyMissing() {
    if (loop.now() < noCampaignUntil) {
      followLeaderKeyAfter(delays.nextRetryS());
      return;
    }
    role = Role.CANDIDATE;
    election.startCampaign();
  }

  private void onCampaignEnded(CampaignOutcome outcome) {
    if (outcome instanceof CampaignOutcome.Won won) {
      becomeLeader(won);
    } else if (outcome instanceof CampaignOutcome.Lost lost) {
      LOG.debug("Campaign lost: node={} reason={}", self.node(), lost.reason());
      role = Role.FOLLOWER;
      followLeaderKeyAfter(delays.nextRetryS());
    }
  }

  private void becomeLeader(CampaignOutcome.Won won) {
    role = Role.LEADER;
    term = won.term();
    leaderKeyVersion = won.leaderKeyVersion();
    storeLease.startRenewing(won.leaseId(), won.leaseRequestedAt());
    renewalsAllowedUntil = Double.NEGATIVE_INFINITY;
    quorumLease.clearGrants();
    LOG.info(
        "Elected leader: node={} term={} lease={} leader_key_revision={}",
        self.node(),
        term,
        won.leaseId(),
        leaderKeyVersion);
    listener.onElected(term, leaderKeyVersion);
  }

  /**
   * Steps down, and does not campaign for half the duration of a worker's lease, so that another
   * controller can be elected.
   */
  public void yieldLeadership(String reason) {
    noCampaignUntil = loop.now() + settings.workerLeaseS() / 2;
    stepDown(reason);
  }

  /**
   * Steps down, if this controller leads. To be called when its leadership is provably lost or
   * another controller can lead better.
   */
  public void stepDown(String reason) {
    if (!isLeading()) {
      return;
    }
    LOG.info("Stepping down: node={} term={} reason={}", self.node(), term, reason);
    role = Role.FOLLOWER;
    quorumLease.clearGrants();
    leaderWatch.forgetLeader();
    listener.onSteppedDown(reason);
    peerVoting.sendWithdrawal(term);
    storeLease.revoke(() -> followLeaderKeyAfter(leaseDurationS / 2));
  }

  private void followLeaderKeyAfter(double seconds) {
    loop.schedule(seconds, leaderWatch::followLeaderKey);
  }
}
