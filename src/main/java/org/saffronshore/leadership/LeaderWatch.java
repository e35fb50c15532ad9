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
 * Reads and watches the leader key while this controller neither leads nor campaigns, and keeps the
 * leader that it names. When the key is missing, the watch ends and its owner decides what to do.
 */
final class LeaderWatch {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderWatch.class);

  /** The value of {@link #leaderTerm} while no leader is known. */
  private static final long NO_TERM = -1;

  private final EventLoop loop;
  private final StateClient state;
  private final ControllerProcess self;
  private final RetryDelays delays;

  /** How long the state service may hold a watch request open without an event, in seconds. */
  private final double maxWatchDurationS;

  private final Runnable onKeyMissing;
  private @Nullable String leaderNode;

  /**
   * The known leader's term; unlike {@link #leaderNode}, kept while the state service is silent.
   */
  private long leaderTerm = NO_TERM;

  private long watchRevision;

  /**
   * Creates a watch that does nothing until {@link #followLeaderKey} is called.
   *
   * @param onKeyMissing called once for each {@link #followLeaderKey}, when the leader key is
   *     missing
   */
  LeaderWatch(
      EventLoop loop,
      StateClient state,
      ControllerProcess self,
      RetryDelays delays,
      double maxWatchDurationS,
      Runnable onKeyMissing) {
    this.loop = loop;
    this.state = state;
    this.self = self;
    this.delays = delays;
    this.maxWatchDurationS = maxWatchDurationS;
    this.onKeyMissing = onKeyMissing;
  }

  /** Returns the controller that is known to lead; null if none is known. */
  @Nullable String leaderNode() {
    return leaderNode;
  }

  /**
   * Returns the term in the leader key when it was last read; -1 if the key was missing or has
   * changed since, or if the leader was forgotten.
   */
  long leaderTerm() {
    return leaderTerm;
  }

  /** Forgets the known leader until the leader key is read again. */
  void forgetLeader() {
    leaderNode = null;
    leaderTerm = NO_TERM;
  }

  /** Reads the leader key, and watches it until it is missing. */
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
      // The earlier process of this controller has ended, so no controller has to wait until its
      // lease expires.
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
            // The known leader may have been replaced. While this controller names no leader,
            // workers whose requests it refuses try the next controller.
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
