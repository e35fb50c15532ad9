package org.saffronshore.leadership;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.state.StateClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leader election: whether this controller may act for the deployment.
 *
 * <p>The leader's key in the state service is attached to a lease (the store lease), and the
 * transaction that sets the key raises the term, which is the fencing token of commands to workers.
 * A leader may act while its store lease is provably valid, counted from when it sent the last
 * successful renewal on a clock that may run slow; beyond that only while a quorum of controllers
 * grants it their leases (see {@link QuorumLease}).
 *
 * <p>Two leaders never act at the same time. A new leader claims the key only when it is missing,
 * so the store lease of the last leader is over, which the last leader notices first, since it
 * counts the lease from an earlier moment and as shorter. The new leader also needs one of two
 * things:
 *
 * <ul>
 *   <li>Proof that the process that led last has ended: another incarnation of its controller has
 *       voted. A process that has ended does not act.
 *   <li>The leases of a quorum. Any two quorums have a controller in common. That controller
 *       granted its lease to the last leader earlier, and grants it to one process at a time (see
 *       {@link LeaseGrants}), so the last leader's lease is over there, and over earlier for its
 *       holder: the last leader has no quorum any more. A controller that was restarted grants
 *       nothing until what its earlier incarnation may have granted is over.
 * </ul>
 *
 * <p>The section "Who leads" of docs/design.md has the whole argument, and what happens in outages.
 */
public final class Leadership {

  /** Learns when this controller begins and ceases to lead; called on the event loop. */
  public interface Listener {
    /**
     * This controller leads from now on.
     *
     * @param keyVersion the version of the leader's key; every earlier leader had stopped acting
     *     before that revision
     */
    void onElected(long term, long keyVersion);

    /** This controller has ceased to lead. */
    void onSteppedDown(String reason);
  }

  /**
   * What this controller is at the moment. The transitions are {@link #onLeaderKeyMissing}
   * (follower to candidate), {@link #onCampaignEnded} (candidate to leader or follower), and {@link
   * #stepDown} (leader to follower).
   */
  private enum Role {
    /** Follows the leader's key, or waits before it does so. */
    FOLLOWER,
    CANDIDATE,
    LEADER
  }

  private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

  /**
   * The duration of the leader's lease as a share of a worker's lease: a new leader has to be there
   * before the leases of workers expire.
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

  /** The term that this controller leads, or led last; 0 before the first. */
  private long term;

  private long leaderKeyVersion;
  private double renewalsAllowedUntil = Double.NEGATIVE_INFINITY;
  private double noCampaignUntil = Double.NEGATIVE_INFINITY;

  /** Takes part in elections once {@link #start} is called. */
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
        new StoreLease(loop, state, leaseDurationS, () -> stepDown("its lease has expired"));
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

  /** Begins to follow the leader's key, and to campaign when it is missing. */
  public void start() {
    leaderWatch.followLeaderKey();
  }

  /** Whether no other controller may act, by the store lease or by the leases of a quorum. */
  public boolean holdsLease() {
    double now = loop.now();
    return isLeading() && (storeLease.isValid() || now < quorumLease.validUntil());
  }

  /**
   * Whether this controller may act for the deployment at this moment: it holds a lease, and knows
   * enough of cancellations to act, see {@link #allowRenewalsUntil}.
   */
  public boolean isActive() {
    return holdsLease() && loop.now() < renewalsAllowedUntil;
  }

  /** Whether the store lease itself is valid, and not only the leases of a quorum. */
  public boolean holdsStoreLease() {
    return isLeading() && storeLease.isValid();
  }

  /**
   * Bounds the time for which this leader renews the leases of workers and launches tasks, whatever
   * lease it holds. Beyond that moment it could keep a task running for too long whose cancellation
   * it does not know.
   */
  public void allowRenewalsUntil(double until) {
    renewalsAllowedUntil = until;
  }

  /** Distinguishes this process from earlier ones of the same controller. */
  public String incarnation() {
    return self.incarnation();
  }

  /**
   * A peer granted its lease to this leader.
   *
   * @param requestedAt when the request was sent, on the clock of the event loop
   */
  public void recordGrant(String peer, double requestedAt) {
    if (isLeading()) {
      quorumLease.recordGrant(peer, requestedAt);
    }
  }

  /**
   * Grants the lease of this controller to a peer, unless another process may hold it. Leases are
   * meant for outages of the state service that all controllers share: a leader that the state
   * service refuses alone, or whose key is missing, is granted none.
   *
   * @param stateServiceAvailable whether the state service serves this controller
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

  /** A peer has withdrawn from a term, so it will not act on the lease of this controller. */
  public void recordWithdrawal(ControllerProcess requester, long withdrawnTerm) {
    leaseGrants.releaseIfHeldBy(requester, withdrawnTerm);
  }

  /** Whether this controller was elected and has not stepped down, even if it may not act now. */
  public boolean isLeading() {
    return role == Role.LEADER;
  }

  /** The term that this controller leads, or led last; 0 before the first. */
  public long term() {
    return term;
  }

  /** The version of the leader's key in that term. */
  public long leaderKeyVersion() {
    return leaderKeyVersion;
  }

  /** The controller that leads as far as is known here. */
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

  /** Steps down, and leaves time for the others to campaign before this controller does. */
  public void yieldLeadership(String reason) {
    noCampaignUntil = loop.now() + settings.workerLeaseS() / 2;
    stepDown(reason);
  }

  /**
   * Steps down, if this controller leads: its lease is provably over, or another one would serve
   * better.
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
