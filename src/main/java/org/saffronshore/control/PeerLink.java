package org.saffronshore.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.saffronshore.config.Settings;
import org.saffronshore.config.Settings.Peer;
import org.saffronshore.http.Client;
import org.saffronshore.http.Loop;
import org.saffronshore.http.Reply;
import org.saffronshore.http.Request;
import org.saffronshore.leadership.PeerVoting;
import org.saffronshore.wire.Json;

/**
 * What the controllers tell one another, in CBOR: whether the state service serves them, and jobs'
 * progress.
 */
final class PeerLink implements PeerVoting {
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
    byte[] body = Json.cbor(heartbeat());
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
            JsonNode back = answer.ok() ? Json.parseCbor(answer.body()) : null;
            if (back != null) {
              peerAnswered(peer);
              receivedHeartbeat(back);
              if (Json.flag(back, "granted") && term == node.leadership().term()) {
                node.leadership().recordGrant(peer.node(), askedAt);
              }
              if (back.path("cancelled").isArray()) {
                List<String> jobs = new ArrayList<>();
                back.get("cancelled").forEach(id -> jobs.add(id.asText()));
                double coveredS = Settings.shortestLocalTime(Json.number(back, "cancelled_s", 0));
                node.cancellationsTold(term, peer.node(), askedAt, loop.now() - coveredS, jobs);
              }
            }
          });
    }
  }

  private void peerAnswered(Peer peer) {
    answeredAt = loop.now();
    reachedAt.put(peer.node(), answeredAt);
  }

  /**
   * Whether an answer of this peer is to be waited for: not when it has left several greetings
   * unanswered.
   */
  private boolean expected(Peer peer) {
    return loop.now() < reachedAt.getOrDefault(peer.node(), Double.POSITIVE_INFINITY) + 3 * periodS;
  }

  private ObjectNode heartbeat() {
    ObjectNode o = self();
    Leader leader = node.activeLeader();
    if (leader != null) {
      o.put("term", leader.cluster().term());
      ObjectNode jobs = o.putObject("jobs");
      leader
          .cluster()
          .jobs()
          .forEach(
              job -> {
                int running = job.running();
                int done = job.doneTasks().cardinality();
                if (running + done > 0) {
                  jobs.putArray(job.spec().id()).add(done).add(running);
                }
              });
    }
    return o;
  }

  private void receivedHeartbeat(JsonNode sendHeartbeat) {
    String from = Json.text(sendHeartbeat, "node");
    double ageS = Json.number(sendHeartbeat, "served_s", Double.POSITIVE_INFINITY);
    if (from != null) {
      servedAt.merge(from, loop.now() - ageS, Math::max);
    }
    long term = Json.count(sendHeartbeat, "term", -1);
    if (term >= progressTerm && sendHeartbeat.path("jobs").isObject()) {
      progressTerm = term;
      Map<String, Progress> all = new HashMap<>();
      sendHeartbeat
          .get("jobs")
          .properties()
          .forEach(
              e ->
                  all.put(
                      e.getKey(),
                      new Progress(e.getValue().path(0).asInt(), e.getValue().path(1).asInt())));
      progress = all;
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

  private ObjectNode self() {
    return Json.object()
        .put("node", settings.node())
        .put("life", node.leadership().incarnation())
        .put("n", ++sent)
        .put("served", node.served())
        .put("served_s", Math.min(1e9, loop.now() - node.state().answeredAt()));
  }

  /**
   * Whether a message is a copy, or was overtaken by a later one of the same process. Were a
   * candidate's "I give up" to come after it had asked for time once more, the time it leads on
   * would be given away again.
   */
  private boolean outdated(String from, String life, long n) {
    String process = from + "/" + life;
    Long last = latest.get(process);
    if (last != null && n <= last) {
      return true;
    }
    latest.put(process, n);
    return false;
  }

  @Override
  public void requestVotes(long term, Predicate<List<Vote>> enough, Consumer<List<Vote>> then) {
    List<Vote> votes = new ArrayList<>();
    Set<Peer> missing = new HashSet<>(settings.peers());
    // Those who have not been there for a while are asked too, but the time of the others is not
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
    byte[] body = Json.cbor(self().put("term", term));
    for (Peer peer : settings.peers()) {
      client.send(
          peer.address(),
          "POST",
          VOTE,
          body,
          periodS / 2,
          answer -> {
            JsonNode back = answer.ok() ? Json.parseCbor(answer.body()) : null;
            if (back != null && Json.text(back, "life") != null) {
              peerAnswered(peer);
              votes.add(new Vote(peer.node(), Json.text(back, "life"), Json.flag(back, "granted")));
            }
            missing.remove(peer);
            tell.run();
          });
    }
    tell.run();
  }

  @Override
  public void withdraw(long term) {
    byte[] body = Json.cbor(self().put("term", term));
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
    JsonNode message = request.body() == null ? null : Json.parseCbor(request.body());
    String from = message == null ? null : Json.text(message, "node");
    String life = message == null ? null : Json.text(message, "life");
    if (!request.is("POST") || from == null || life == null) {
      reply.error(400, "not a message of a peer");
      return true;
    }
    heardAt = loop.now();
    ObjectNode answer = self();
    if (outdated(from, life, Json.count(message, "n", 0))) {
      answer.put("granted", false);
    } else {
      answer(path, message, answer);
    }
    reply.send(200, CBOR, Json.cbor(answer), 0);
    return true;
  }

  private void answer(String path, JsonNode message, ObjectNode answer) {
    String from = Json.text(message, "node");
    String life = Json.text(message, "life");
    long term = Json.count(message, "term", -1);
    if (path.equals(WITHDRAW)) {
      node.leadership().peerWithdrew(from, life, term);
      return;
    }
    if (path.equals(HEARTBEAT)) {
      receivedHeartbeat(message);
      if (term >= 0) {
        tellCancellations(answer);
      }
    }
    boolean candidate = path.equals(VOTE);
    boolean peerServed = Json.flag(message, "served");
    answer.put(
        "granted",
        term >= 0
            && node.leadership().grant(from, life, term, candidate, peerServed, node.served()));
  }

  /**
   * To a leader, which may be refused by the state service while this node is served: what was
   * cancelled, so that it stops the tasks at once; and for how long nothing is missing, so that in
   * an outage it may go on with others.
   */
  private void tellCancellations(ObjectNode answer) {
    ArrayNode jobs = answer.putArray("cancelled");
    node.store().recentlyCancelled().forEach(jobs::add);
    answer.put("cancelled_s", node.store().cancellationsCoverS());
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
