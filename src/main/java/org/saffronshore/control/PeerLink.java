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
import org.saffronshore.config.Settings;
import org.saffronshore.config.Settings.Peer;
import org.saffronshore.http.Answer;
import org.saffronshore.http.Client;
import org.saffronshore.http.Loop;
import org.saffronshore.http.Reply;
import org.saffronshore.http.Request;
import org.saffronshore.leadership.PeerVoting;
import org.saffronshore.peer.PeerAnswer;
import org.saffronshore.peer.PeerMessage;
import org.saffronshore.peer.Progress;
import org.saffronshore.wire.InvalidField;
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

  private final Loop loop;
  private final Settings settings;
  private final Client client;
  private final Node node;
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
          return size() > 16 * settings.controllers();
        }
      };

  private Map<String, Progress> progress = Map.of();
  private long progressTerm;

  PeerLink(Node node) {
    this.loop = node.loop();
    this.settings = node.settings();
    this.client = node.client();
    this.node = node;
    this.periodS = settings.reportS() / 3;
  }

  void start() {
    loop.every(periodS, this::sendHeartbeat);
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
            PeerAnswer parsed = answer.ok() ? parsed(peer, answer) : null;
            if (parsed != null) {
              heartbeatAnswered(peer, parsed, askedAt, term);
            }
          });
    }
  }

  /** The answer of a peer, or null when it cannot be read, which counts as none. */
  private static PeerAnswer parsed(Peer peer, Answer answer) {
    try {
      return PeerAnswer.parse(answer.body());
    } catch (InvalidField e) {
      LOG.warn("an answer of {} cannot be read: {}", peer.node(), e.getMessage());
      return null;
    }
  }

  private void heartbeatAnswered(Peer peer, PeerAnswer answer, double askedAt, long term) {
    peerAnswered(peer);
    received(answer.sender());
    if (answer.granted() && term == node.leadership().term()) {
      node.leadership().recordGrant(peer.node(), askedAt);
    }
    PeerAnswer.Cancellations told = answer.cancellations();
    if (told != null) {
      double coveredSince = loop.now() - Settings.shortestLocalTime(told.coversS());
      node.cancellationsTold(term, peer.node(), askedAt, coveredSince, told.jobs());
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
  private boolean expected(Peer peer) {
    return loop.now() < reachedAt.getOrDefault(peer.node(), Double.POSITIVE_INFINITY) + 3 * periodS;
  }

  private PeerMessage heartbeat() {
    Leader leader = node.activeLeader();
    if (leader == null) {
      return message(PeerMessage.NO_TERM, null);
    }
    Map<String, Progress> jobs = new LinkedHashMap<>();
    for (Job job : leader.cluster().jobs()) {
      Progress now = new Progress(job.doneTasks().cardinality(), job.running());
      if (now.running() + now.done() > 0) {
        jobs.put(job.spec().id(), now);
      }
    }
    return message(leader.cluster().term(), jobs);
  }

  /** Takes what every message and answer says of its sender, and of jobs. */
  private void received(PeerMessage message) {
    if (message.node() != null) {
      servedAt.merge(message.node(), loop.now() - message.servedAgoS(), Math::max);
    }
    if (message.progress() != null && message.term() >= progressTerm) {
      progressTerm = message.term();
      progress = message.progress();
    }
  }

  /**
   * Whether this node is alone as far as it can tell: it has peers, and none has answered for a
   * while.
   */
  boolean alone(double forS) {
    return !settings.peers().isEmpty() && loop.now() > answeredAt + forS;
  }

  /** Whether no peer has been heard either, in answers or by itself. */
  boolean cutOff(double forS) {
    return alone(forS) && loop.now() > heardAt + forS;
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
            settings.reportS() * 2 / 3,
            answer -> then.accept(answer.ok() ? answer.body() : null));
        return;
      }
    }
    then.accept(null);
  }

  private void relayed(Request request, Reply reply) {
    byte[] answer = node.reportAnswer(request, reply);
    if (answer == null) {
      reply.later(503, "not the leader", 1);
    } else {
      reply.send(200, Reply.JSON, answer, 0);
    }
  }

  private PeerMessage message(long term, Map<String, Progress> jobs) {
    return new PeerMessage(
        settings.node(),
        node.leadership().incarnation(),
        ++sent,
        node.served(),
        loop.now() - node.state().answeredAt(),
        term,
        jobs);
  }

  /**
   * Whether a message is a copy, or was overtaken by a later one of the same process. A late
   * withdrawal of a candidate that has asked again since, and leads, would otherwise release the
   * leases that it leads on.
   */
  private boolean outdated(PeerMessage message) {
    String process = message.node() + "/" + message.incarnation();
    Long last = latest.get(process);
    if (last != null && message.number() <= last) {
      return true;
    }
    latest.put(process, message.number());
    return false;
  }

  @Override
  public void requestVotes(long term, Predicate<List<Vote>> enough, Consumer<List<Vote>> then) {
    List<Vote> votes = new ArrayList<>();
    Set<Peer> missing = new HashSet<>(settings.peers());
    // Those who have not been there for a while are asked too, but the leases of the others are not
    // held for them.
    missing.removeIf(peer -> !expected(peer));
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
            PeerAnswer vote = answer.ok() ? parsed(peer, answer) : null;
            if (vote != null && vote.sender().incarnation() != null) {
              peerAnswered(peer);
              votes.add(new Vote(peer.node(), vote.sender().incarnation(), vote.granted()));
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
  boolean handle(Request request, Reply reply) {
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
      message = PeerMessage.parse(request.is("POST") ? request.body() : null);
    } catch (InvalidField e) {
      LOG.warn("a message between controllers cannot be read: {}", e.getMessage());
      reply.error(400, e.getMessage());
      return true;
    }
    heardAt = loop.now();
    reply.send(200, CBOR, answer(path, message).toCbor(), 0);
    return true;
  }

  private PeerAnswer answer(String path, PeerMessage message) {
    boolean candidate = path.equals(VOTE);
    boolean withdrawn = path.equals(WITHDRAW);
    boolean leads = path.equals(HEARTBEAT) && message.term() != PeerMessage.NO_TERM;
    PeerMessage self = message(PeerMessage.NO_TERM, null);
    if (outdated(message)) {
      return new PeerAnswer(self, false, null);
    }
    if (withdrawn) {
      node.leadership().peerWithdrew(message.node(), message.incarnation(), message.term());
      return new PeerAnswer(self, false, null);
    }
    if (path.equals(HEARTBEAT)) {
      received(message);
    }
    boolean granted =
        message.term() != PeerMessage.NO_TERM
            && node.leadership()
                .grant(
                    message.node(),
                    message.incarnation(),
                    message.term(),
                    candidate,
                    message.served(),
                    node.served());
    return new PeerAnswer(self, granted, leads ? cancellations() : null);
  }

  /**
   * For a leader, which may be refused by the state service while this node is served: what was
   * cancelled, so that it stops the tasks at once; and for how long nothing is missing, so that in
   * an outage it may go on with others.
   */
  private PeerAnswer.Cancellations cancellations() {
    return new PeerAnswer.Cancellations(
        node.store().recentlyCancelled(), node.store().cancellationsCoverS());
  }

  /**
   * Whether the state service has served some peer since that moment, and for some time after it.
   */
  boolean servedSince(double moment) {
    return servedAt.values().stream().anyMatch(at -> at > moment + 2 * periodS);
  }

  Progress progress(String job) {
    return progress.getOrDefault(job, Progress.NONE);
  }
}
