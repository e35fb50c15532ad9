package org.saffronshore.leadership;

import org.jspecify.annotations.Nullable;
import org.saffronshore.http.EventLoop;
import org.saffronshore.state.GetResult;
import org.saffronshore.state.Keys;
import org.saffronshore.state.LeaderRecord;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.WatchResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the leader's key while this controller neither leads nor campaigns: who leads as far as
 * is known here. When the key is missing the watch ends, and its owner decides what comes next.
 */
final class LeaderWatch {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderWatch.class);

  /** The term of a leader that is not known. */
  private static final long NO_TERM = -1;

  private final EventLoop loop;
  private final StateClient state;
  private final ControllerProcess self;
  private final RetryDelays delays;

  /** How long the state service may hold a watch request without an event, in seconds. */
  private final double maxWatchDurationS;

  private final Runnable onKeyMissing;
  private @Nullable String leaderNode;

  /** Outlives the knowledge of the leader's name while the state service does not respond. */
  private long leaderTerm = NO_TERM;

  private long watchRevision;

  /**
   * @param onKeyMissing is called once for each {@link #followLeaderKey}, when the leader's key is
   *     missing
   */
  LeaderWatch(
      EventLoop loop,
      StateClient state,
      ControllerProcess self,
      RetryDelays delays,
      double watchHoldS,
      Runnable onKeyMissing) {
    this.loop = loop;
    this.state = state;
    this.self = self;
    this.delays = delays;
    this.maxWatchDurationS = watchHoldS;
    this.onKeyMissing = onKeyMissing;
  }

  /** The controller that leads as far as is known here; null when none is known. */
  @Nullable String leaderNode() {
    return leaderNode;
  }

  /** The term of the leader's key when it was read last; -1 when it was missing or has changed. */
  long leaderTerm() {
    return leaderTerm;
  }

  /** Forgets who leads, until the key is read again. */
  void forgetLeader() {
    leaderNode = null;
    leaderTerm = NO_TERM;
  }

  /** Reads the leader's key, and watches it until it is missing. */
  void followLeaderKey() {
    state.get(
        Keys.LEADER,
        RequestPriority.VITAL,
        key -> {
          if (key.isFound()) {
            onLeaderFound(key);
          } else if (key.isMissing()) {
            forgetLeader();
            onKeyMissing.run();
          } else {
            leaderNode = null;
            followLeaderKeyAfter(delays.nextRetryS());
          }
        });
  }

  private void followLeaderKeyAfter(double seconds) {
    loop.schedule(seconds, this::followLeaderKey);
  }

  private void onLeaderFound(GetResult key) {
    LeaderRecord leader = LeaderRecord.parse(key.value());
    leaderNode = leader.controller();
    leaderTerm = leader.term();
    if (self.node().equals(leaderNode) && !self.incarnation().equals(leader.incarnation())) {
      // That process has ended, so nobody has to wait until its lease expires.
      leaderNode = null;
      LOG.info(
          "Revoking the lease of an earlier incarnation: node={} term={} lease={}",
          self.node(),
          leaderTerm,
          key.leaseId());
      state.revokeLease(key.leaseId(), () -> followLeaderKeyAfter(delays.afterRevocationS()));
      return;
    }
    watchRevision = key.version();
    watchLeaderKey();
  }

  private void watchLeaderKey() {
    state.watch(
        Keys.LEADER,
        watchRevision,
        maxWatchDurationS,
        changes -> {
          if (!changes.isReceived()) {
            // The known leader may be an old one. While none is named, workers that were refused
            // here try the next controller.
            if (changes.outcome() != WatchResult.Outcome.COMPACTED) {
              leaderNode = null;
            }
            followLeaderKeyAfter(delays.nextRetryS());
          } else if (changes.events().isEmpty()) {
            watchRevision = changes.revision();
            watchLeaderKey();
          } else {
            forgetLeader();
            followLeaderKeyAfter(delays.afterKeyChangeS());
          }
        });
  }
}
