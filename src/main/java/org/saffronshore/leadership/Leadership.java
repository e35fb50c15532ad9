package org.saffronshore.leadership;

import java.util.List;
import java.util.random.RandomGenerator;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.state.GetResult;
import org.saffronshore.state.Keys;
import org.saffronshore.state.LeaderRecord;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.Transaction;
import org.saffronshore.state.WatchResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leader election. The leader holds a key attached to a lease of the state service. The transaction
 * that sets the key raises the term, and the term is the fencing token of commands to workers. A
 * leader is active while its lease provably lives, counted from when it sent the last renewal that
 * succeeded, on a clock that may run slow; beyond that only while a quorum of controllers grants it
 * their leases, see {@link LeaseGrants}.
 *
 * <p>A new leader needs the free key, and either the leases of a quorum or proof that the last
 * leader's process has ended. So whatever let the last leader act is over before the new one acts.
 */
public final class Leadership {

  /** What happens on this node; called on the loop. */
  public interface Listener {
    /**
     * This node leads from now on: the key has this version, and nobody led before its revision
     * without ending.
     */
    void onElected(long term, long keyVersion);

    void onDeposed(String why);
  }

  private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

  /**
   * The life of the leader's lease as a share of a worker's lease: a new leader has to be there
   * before the leases of workers run out.
   */
  private static final double LEASE_SHARE_OF_WORKER_LEASE = 1.0 / 5;

  private final EventLoop loop;
  private final StateClient state;
  private final Settings settings;
  private final RandomGenerator random;
  private final Listener listener;
  private final PeerVoting peerVoting;
  private final LeaseGrants leaseGrants;
  private final StateServiceVoting stateServiceVoting;
  private final StoreLease lease;
  private final double leaseDurationS;

  /** Distinguishes this process from earlier ones of the same node. */
  private final String incarnation;

  private boolean leading;
  private boolean campaigning;
  private long term;
  private long leaderKeyVersion;
  private String leaderNode;
  private long leaderTerm = -1;

  /** Campaigns in a row in which most peers did not answer. */
  private int unreached;

  private long watchFrom = -1;
  private double renewalsAllowedUntil = Double.NEGATIVE_INFINITY;
  private double campaignAgainAt = Double.NEGATIVE_INFINITY;

  /** Takes part in elections once {@link #start} is called. */
  public Leadership(
      EventLoop loop,
      StateClient state,
      Settings settings,
      RandomGenerator random,
      Listener listener,
      PeerVoting peerVoting) {
    this.loop = loop;
    this.state = state;
    this.settings = settings;
    this.random = random;
    this.listener = listener;
    this.leaseDurationS = Math.max(0.1, settings.workerLeaseS() * LEASE_SHARE_OF_WORKER_LEASE);
    this.incarnation = Long.toHexString(random.nextLong());
    this.peerVoting = peerVoting;
    this.lease =
        new StoreLease(loop, state, leaseDurationS, () -> stepDown("its lease has expired"));
    this.leaseGrants = new LeaseGrants(loop, leaseDurationS, settings.controllerCount());
    this.stateServiceVoting =
        new StateServiceVoting(loop, state, settings.node(), incarnation, leaseDurationS / 2);
  }

  public void start() {
    readLeader();
  }

  /** Whether no other node may act, by the store lease or by the leases of a quorum. */
  public boolean holdsLease() {
    double now = loop.now();
    return leading && (lease.valid() || now < leaseGrants.quorumLeaseUntil());
  }

  /**
   * Whether this node may act for the controllers at this moment: also, whether it knows enough to.
   */
  public boolean isActive() {
    return holdsLease() && loop.now() < renewalsAllowedUntil;
  }

  /** Whether the store lease itself is known to live, and not only the leases of a quorum. */
  public boolean holdsStoreLease() {
    return leading && lease.valid();
  }

  /**
   * Whatever lets this node lead, from this moment on it renews no lease and launches nothing: by
   * then it might keep a task alive for too long whose cancellation it does not know.
   */
  public void allowRenewalsUntil(double until) {
    renewalsAllowedUntil = until;
  }

  public String incarnation() {
    return incarnation;
  }

  /** A peer granted its lease to this leader, which had asked at that moment. */
  public void recordGrant(String peer, double askedAt) {
    if (leading) {
      leaseGrants.held(peer, askedAt);
    }
  }

  /**
   * Whether this node grants its lease to a peer. Leases are for when the state service is away for
   * everybody: a leader that it refuses alone, or whose key is gone, gets none.
   */
  public boolean grantLease(
      String node,
      String life,
      long askedTerm,
      boolean candidate,
      boolean peerServed,
      boolean served) {
    if (holdsLease() || (served && (!peerServed || (!candidate && askedTerm != leaderTerm)))) {
      return false;
    }
    return leaseGrants.grant(node, life, askedTerm);
  }

  public void recordWithdrawal(String node, String life, long askedTerm) {
    leaseGrants.withdraw(node, life, askedTerm);
  }

  public boolean isLeading() {
    return leading;
  }

  public long term() {
    return term;
  }

  public long leaderKeyVersion() {
    return leaderKeyVersion;
  }

  /** The node that leads as far as is known here, or null. */
  public String leaderNode() {
    return leading ? (isActive() ? settings.node() : null) : leaderNode;
  }

  /**
   * A random pause that is long against a round of votes, so that one candidate is ahead of the
   * others.
   */
  private double pause() {
    return leaseDurationS / 10 * (0.5 + random.nextDouble());
  }

  private void readLeader() {
    if (leading || campaigning) {
      return;
    }
    state.get(
        Keys.LEADER,
        RequestPriority.VITAL,
        answer -> {
          if (answer.isFound()) {
            leaderFound(answer);
          } else if (answer.isMissing()) {
            leaderNode = null;
            leaderTerm = -1;
            if (loop.now() < campaignAgainAt) {
              loop.schedule(pause(), this::readLeader);
            } else {
              campaign();
            }
          } else {
            leaderNode = null;
            loop.schedule(pause(), this::readLeader);
          }
        });
  }

  private void leaderFound(GetResult key) {
    LeaderRecord leader = LeaderRecord.parse(key.value());
    leaderNode = leader.node();
    leaderTerm = leader.term();
    if (settings.node().equals(leaderNode) && !incarnation.equals(leader.incarnation())) {
      // The key belongs to an earlier incarnation of this node: it need not be waited out.
      leaderNode = null;
      LOG.info("ending the lease {} of an earlier incarnation of this node", key.leaseId());
      state.revokeLease(key.leaseId(), () -> loop.schedule(pause() / 4, this::readLeader));
      return;
    }
    watchFrom = key.version();
    watchLeader();
  }

  private void watchLeader() {
    state.watch(
        Keys.LEADER,
        watchFrom,
        leaseDurationS,
        answer -> {
          if (!answer.isReceived()) {
            // What is known may be old now. Saying nobody leads only sends workers to ask the next
            // node.
            leaderNode = answer.outcome() == WatchResult.Outcome.COMPACTED ? leaderNode : null;
            loop.schedule(pause(), this::readLeader);
          } else if (answer.events().isEmpty()) {
            watchFrom = answer.revision();
            watchLeader();
          } else {
            leaderNode = null;
            leaderTerm = -1;
            loop.schedule(random.nextDouble() * leaseDurationS / 20, this::readLeader);
          }
        });
  }

  private void campaign() {
    campaigning = true;
    state.get(
        Keys.TERM,
        RequestPriority.VITAL,
        read -> {
          if (read.isUnknown()) {
            abandonCampaign(0);
          } else if (read.isMissing()) {
            campaign(new LeaderRecord(null, null, 0), 0);
          } else {
            campaign(LeaderRecord.parse(read.value()), read.version());
          }
        });
  }

  /**
   * @param version of the term's key
   */
  private void campaign(LeaderRecord last, long version) {
    long lastTerm = Math.max(0, last.term());
    long next = lastTerm + 1;
    // Its own lease first: two that grant theirs to each other, or a split vote, all fail.
    boolean own = leaseGrants.grant(settings.node(), incarnation, next);
    if (!own && leaseGrants.grantedToOther(settings.node(), incarnation, next)) {
      // Another candidate holds it.
      campaignThroughStateServiceOrAbandon(unreached > 1, lastTerm, version);
      return;
    }
    int ownVote = own ? 1 : 0;
    peerVoting.requestVotes(
        next,
        votes -> isOver(last, votes) || decided(votes, ownVote),
        votes -> {
          boolean quorum = granted(votes) + ownVote >= leaseGrants.majority();
          if (quorum || lastTerm == 0 || isOver(last, votes)) {
            unreached = 0;
            acquireLease(lastTerm, version);
            return;
          }
          LOG.debug(
              "{} has no quorum for term {}: {} of {} that answered granted their leases",
              settings.node(),
              next,
              granted(votes),
              votes.size());
          withdraw(next);
          boolean mostSilent = votes.size() + 1 < leaseGrants.majority();
          campaignThroughStateServiceOrAbandon(mostSilent && ++unreached > 1, lastTerm, version);
        });
  }

  private void campaignThroughStateServiceOrAbandon(boolean through, long lastTerm, long version) {
    if (through) {
      campaignThroughStateService(lastTerm, version);
    } else {
      abandonCampaign(0);
    }
  }

  /**
   * Whether the missing votes cannot change the outcome: the leases of others are not held for
   * them.
   */
  private boolean decided(List<PeerVoting.Vote> votes, int own) {
    long granted = granted(votes);
    return granted + own >= leaseGrants.majority()
        || granted + own + settings.peers().size() - votes.size() < leaseGrants.majority();
  }

  private void withdraw(long asked) {
    leaseGrants.withdraw(settings.node(), incarnation, asked);
    peerVoting.withdraw(asked);
  }

  /**
   * Where most peers cannot be reached, a leader that is cut off could not be replaced otherwise.
   */
  private void campaignThroughStateService(long lastTerm, long termVersion) {
    stateServiceVoting.requestVotes(
        lastTerm + 1,
        (node, life, asked) -> grantLease(node, life, asked, true, true, true),
        granted -> granted.size() + 1 >= leaseGrants.majority(),
        granted -> {
          if (elected(lastTerm + 1, granted.size())) {
            unreached = 0;
            acquireLease(lastTerm, termVersion);
          } else {
            abandonCampaign(0);
          }
        });
  }

  /**
   * Whether the process that led last has ended: another incarnation of the same node has just
   * answered, or is this one.
   */
  private boolean isOver(LeaderRecord last, List<PeerVoting.Vote> votes) {
    return settings.node().equals(last.node())
        || votes.stream()
            .anyMatch(
                v -> v.node().equals(last.node()) && !v.incarnation().equals(last.incarnation()));
  }

  private static long granted(List<PeerVoting.Vote> votes) {
    return votes.stream().filter(PeerVoting.Vote::granted).count();
  }

  private boolean elected(long next, long granted) {
    if (granted + 1 < leaseGrants.majority()) {
      return false;
    }
    return granted >= leaseGrants.majority()
        || leaseGrants.grant(settings.node(), incarnation, next);
  }

  private void acquireLease(long lastTerm, long termVersion) {
    double sentAt = loop.now();
    state.grantLease(
        leaseDurationS,
        lease -> {
          if (lease.isEmpty()) {
            abandonCampaign(0);
          } else {
            claim(lease.getAsLong(), sentAt, lastTerm, termVersion);
          }
        });
  }

  private void claim(long mine, double sentAt, long lastTerm, long termVersion) {
    long next = lastTerm + 1;
    LeaderRecord claimed = new LeaderRecord(settings.node(), incarnation, next);
    Transaction txn =
        new Transaction()
            .expectVersion(Keys.LEADER, 0)
            .expectVersion(Keys.TERM, termVersion)
            .put(Keys.LEADER, claimed.toJson(), mine)
            .put(Keys.TERM, claimed.toJson());
    state.commit(
        txn,
        RequestPriority.VITAL,
        result -> {
          if (!result.isCommitted()) {
            // A claim whose answer was lost may still be carried out, while the lease lives.
            abandonCampaign(mine);
            return;
          }
          campaigning = false;
          leading = true;
          term = next;
          leaderKeyVersion = result.revision();
          lease.begin(mine, sentAt);
          renewalsAllowedUntil = Double.NEGATIVE_INFINITY;
          leaseGrants.clearHeld();
          LOG.info(
              "{} leads term {}: the leader's key was free; lease {}; leader_key_revision={}",
              settings.node(),
              term,
              mine,
              leaderKeyVersion);
          listener.onElected(term, leaderKeyVersion);
        });
  }

  private void abandonCampaign(long mine) {
    Runnable again =
        () -> {
          campaigning = false;
          readLeader();
        };
    if (mine == 0) {
      loop.schedule(pause(), again);
    } else {
      state.revokeLease(mine, () -> loop.schedule(pause(), again));
    }
  }

  /** Steps down for the others, and lets them try for a while before it campaigns again. */
  public void yieldLeadership(String why) {
    campaignAgainAt = loop.now() + settings.workerLeaseS() / 2;
    stepDown(why);
  }

  /** Steps down: the leadership is provably gone, or another node would serve better. */
  public void stepDown(String why) {
    if (!leading) {
      return;
    }
    LOG.info("{} ends leading term {}: {}", settings.node(), term, why);
    leading = false;
    leaseGrants.clearHeld();
    leaderNode = null;
    leaderTerm = -1;
    listener.onDeposed(why);
    peerVoting.withdraw(term);
    lease.release(() -> loop.schedule(leaseDurationS / 2, this::readLeader));
  }
}
