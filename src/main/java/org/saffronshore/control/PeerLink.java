package org.saffronshore.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.saffronshore.cluster.Job;
import org.saffronshore.config.Peer;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Client;
import org.saffronshore.http.EventLoop;
import org.saffronshore.http.Request;
import org.saffronshore.http.Responder;
import org.saffronshore.http.Response;
import org.saffronshore.leadership.ControllerProcess;
import org.saffronshore.leadership.LeaseRequest;
import org.saffronshore.leadership.PeerVoting;
import org.saffronshore.peer.JobProgress;
import org.saffronshore.peer.PeerMessage;
import org.saffronshore.peer.PeerResponse;
import org.saffronshore.wire.InvalidFieldException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The messages between controllers: heartbeats with jobs' progress and what is known of
 * cancellations, votes, withdrawals, and workers' reports that are relayed to the leader.
 */
final class PeerLink implements PeerVoting {
  private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);
  static final String CBOR = "application/cbor";
  private static final String HEARTBEAT = "/peer/hello";
  private static final String VOTE = "/peer/vote";
  private static final String WITHDRAW = "/peer/giveup";
  private static final String REPORT = "/peer/report";

  private final EventLoop loop;
  private final Settings settings;
  private final Client client;
  private final Controller node;
  private final double periodS;

  /** When a peer last answered anything. */
  private double answeredAt = Double.NEGATIVE_INFINITY;

  /** When a message of a peer last came. */
  private double heardAt = Double.NEGATIVE_INFINITY;

  /** When each peer last answered; one that is not here may have been asked nothing yet. */
  private final Map<String, Double> reachedAt = new HashMap<>();

  /** When the state service last served each peer, as far as it has told. */
  private final Map<String, Double> servedAt = new HashMap<>();

  private long sent;

  /** The number of the latest message of each process that was heard. */
  private final Map<String, Long> latest =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > 16 * settings.controllerCount();
        }
      };

  private Map<String, JobProgress> progress = Map.of();
  private long progressTerm;

  PeerLink(Controller node) {
    this.loop = node.loop();
    this.settings = node.settings();
    this.client = node.client();
    this.node = node;
    this.periodS = settings.heartbeatIntervalS() / 3;
  }

  void start() {
    loop.scheduleWithFixedDelay(periodS, this::sendHeartbeat);
  }

  private void sendHeartbeat() {
    byte[] body = heartbeat().toCbor();
    double askedAt = loop.now();
    long term = node.leadership().term();
    for (Peer peer : settings.peers()) {
      client.send(
          peer.address(),
          "POST",
          HEARTBEAT,
          body,
          periodS * 2,
          answer -> {
            PeerResponse parsed = answer.ok() ? parsed(peer, answer) : null;
            if (parsed != null) {
              heartbeatAnswered(peer, parsed, askedAt, term);
            }
          });
    }
  }

  /** The answer of a peer, or null when it cannot be read, which counts as none. */
  private static PeerResponse parsed(Peer peer, Response answer) {
    try {
      return PeerResponse.parse(answer.body());
    } catch (InvalidFieldException e) {
      LOG.warn("an answer of {} cannot be read: {}", peer.node(), e.getMessage());
      return null;
    }
  }

  private void heartbeatAnswered(Peer peer, PeerResponse answer, double askedAt, long term) {
    peerAnswered(peer);
    recordSender(answer.sender());
    if (answer.leaseGranted() && term == node.leadership().term()) {
      node.leadership().recordGrant(peer.node(), askedAt);
    }
    PeerResponse.Cancellations told = answer.cancellations();
    if (told != null) {
      double coveredSince = loop.now() - Settings.minLocalDuration(told.completeForS());
      node.peerReportedCancellations(term, peer.node(), askedAt, coveredSince, told.jobs());
    }
  }

  private void peerAnswered(Peer peer) {
    answeredAt = loop.now();
    reachedAt.put(peer.node(), answeredAt);
  }

  /**
   * Whether an answer of this peer is to be waited for: not when it has left several heartbeats
   * unanswered.
   */
  private boolean isResponseExpected(Peer peer) {
    return loop.now() < reachedAt.getOrDefault(peer.node(), Double.POSITIVE_INFINITY) + 3 * periodS;
  }

  private PeerMessage heartbeat() {
    Leader leader = node.activeLeader();
    if (leader == null) {
      return message(PeerMessage.NO_TERM, null);
    }
    Map<String, JobProgress> jobs = new LinkedHashMap<>();
    for (Job job : leader.cluster().jobs()) {
      JobProgress now = new JobProgress(job.finishedTasks().cardinality(), job.runningTaskCount());
      if (now.running() + now.done() > 0) {
        jobs.put(job.spec().id(), now);
      }
    }
    return message(leader.cluster().term(), jobs);
  }

  /** Takes what every message and answer says of its sender, and of jobs. */
  private void recordSender(PeerMessage message) {
    if (message.node() != null) {
      servedAt.merge(message.node(), loop.now() - message.stateServiceAvailableAgoS(), Math::max);
    }
    if (message.jobProgress() != null && message.term() >= progressTerm) {
      progressTerm = message.term();
      progress = message.jobProgress();
    }
  }

  /**
   * Whether this node is alone as far as it can tell: it has peers, and none has answered for a
   * while.
   */
  boolean isIsolated(double forS) {
    return !settings.peers().isEmpty() && loop.now() > answeredAt + forS;
  }

  /** Whether no peer has been heard either, in answers or by itself. */
  boolean isCutOff(double forS) {
    return isIsolated(forS) && loop.now() > heardAt + forS;
  }

  /**
   * Hands a worker's report to the leader, and the leader's answer back; null when there is none in
   * time.
   */
  void relay(String leader, byte[] report, Consumer<byte[]> then) {
    for (Peer peer : settings.peers()) {
      if (peer.node().equals(leader)) {
        client.send(
            peer.address(),
            "POST",
            REPORT,
            report,
            settings.heartbeatIntervalS() * 2 / 3,
            answer -> then.accept(answer.ok() ? answer.body() : null));
        return;
      }
    }
    then.accept(null);
  }

  private void relayed(Request request, Responder reply) {
    byte[] answer = node.relayedHeartbeatResponse(request, reply);
    if (answer == null) {
      reply.retryLater(503, "not the leader", 1);
    } else {
      reply.send(200, Responder.CONTENT_TYPE_JSON, answer, 0);
    }
  }

  private PeerMessage message(long term, Map<String, JobProgress> jobs) {
    return new PeerMessage(
        settings.node(),
        node.leadership().incarnation(),
        ++sent,
        node.isStateServiceAvailable(),
        loop.now() - node.state().lastResponseAt(),
        term,
        jobs);
  }

  /**
   * Whether a message is a copy, or was overtaken by a later one of the same process. A late
   * withdrawal of a candidate that has asked again since, and leads, would otherwise release the
   * leases that it leads on.
   */
  private boolean isOutdated(PeerMessage message) {
    String process = message.node() + "/" + message.incarnation();
    Long last = latest.get(process);
    if (last != null && message.sequence() <= last) {
      return true;
    }
    latest.put(process, message.sequence());
    return false;
  }

  @Override
  public void requestVotes(long term, Predicate<List<Vote>> enough, Consumer<List<Vote>> then) {
    List<Vote> votes = new ArrayList<>();
    Set<Peer> missing = new HashSet<>(settings.peers());
    // Those who have not been there for a while are asked too, but the leases of the others are not
    // held for them.
    missing.removeIf(peer -> !isResponseExpected(peer));
    boolean[] told = new boolean[1];
    Runnable tell =
        () -> {
          if (!told[0] && (missing.isEmpty() || enough.test(votes))) {
            told[0] = true;
            then.accept(votes);
          }
        };
    byte[] body = message(term, null).toCbor();
    for (Peer peer : settings.peers()) {
      client.send(
          peer.address(),
          "POST",
          VOTE,
          body,
          periodS / 2,
          answer -> {
            PeerResponse vote = answer.ok() ? parsed(peer, answer) : null;
            if (vote != null && vote.sender().incarnation() != null) {
              peerAnswered(peer);
              votes.add(new Vote(peer.node(), vote.sender().incarnation(), vote.leaseGranted()));
            }
            missing.remove(peer);
            tell.run();
          });
    }
    tell.run();
  }

  @Override
  public void withdraw(long term) {
    byte[] body = message(term, null).toCbor();
    for (Peer peer : settings.peers()) {
      client.send(peer.address(), "POST", WITHDRAW, body, periodS, answer -> {});
    }
  }

  /** Answers what is meant for the peer link; false when the path is not. */
  boolean handle(Request request, Responder reply) {
    String path = request.path();
    if (path.equals(REPORT)) {
      relayed(request, reply);
      return true;
    }
    if (!path.equals(HEARTBEAT) && !path.equals(VOTE) && !path.equals(WITHDRAW)) {
      return false;
    }
    PeerMessage message;
    try {
      message = PeerMessage.parse(request.hasMethod("POST") ? request.body() : null);
    } catch (InvalidFieldException e) {
      LOG.warn("a message between controllers cannot be read: {}", e.getMessage());
      reply.error(400, e.getMessage());
      return true;
    }
    heardAt = loop.now();
    reply.send(200, CBOR, answer(path, message).toCbor(), 0);
    return true;
  }

  private PeerResponse answer(String path, PeerMessage message) {
    boolean candidate = path.equals(VOTE);
    boolean withdrawn = path.equals(WITHDRAW);
    boolean leads = path.equals(HEARTBEAT) && message.term() != PeerMessage.NO_TERM;
    PeerMessage self = message(PeerMessage.NO_TERM, null);
    if (isOutdated(message)) {
      return new PeerResponse(self, false, null);
    }
    ControllerProcess sender = new ControllerProcess(message.node(), message.incarnation());
    if (withdrawn) {
      node.leadership().recordWithdrawal(sender, message.term());
      return new PeerResponse(self, false, null);
    }
    if (path.equals(HEARTBEAT)) {
      recordSender(message);
    }
    boolean granted =
        message.term() != PeerMessage.NO_TERM
            && node.leadership()
                .grantLease(
                    new LeaseRequest(
                        sender,
                        message.term(),
                        candidate ? LeaseRequest.Role.CANDIDATE : LeaseRequest.Role.LEADER,
                        message.stateServiceAvailable()),
                    node.isStateServiceAvailable());
    return new PeerResponse(self, granted, leads ? cancellations() : null);
  }

  /**
   * For a leader, which may be refused by the state service while this node is served: what was
   * cancelled, so that it stops the tasks at once; and for how long nothing is missing, so that in
   * an outage it may go on with others.
   */
  private PeerResponse.Cancellations cancellations() {
    return new PeerResponse.Cancellations(
        node.store().recentlyCancelled(), node.store().cancellationsCompleteForS());
  }

  /**
   * Whether the state service has served some peer since that moment, and for some time after it.
   */
  boolean anyPeerServedSince(double moment) {
    return servedAt.values().stream().anyMatch(at -> at > moment + 2 * periodS);
  }

  JobProgress progress(String job) {
    return progress.getOrDefault(job, JobProgress.NONE);
  }
}
