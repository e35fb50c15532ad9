package org.saffronshore.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.random.RandomGenerator;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Answer;
import org.saffronshore.http.Loop;
import org.saffronshore.state.Keys;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.Txn;
import org.saffronshore.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who leads. The leader holds a key that hangs on a permit of the state service; in the transaction
 * that sets the key, the term is raised, and the term is the token that fences commands to workers.
 * A leader acts while its permit provably lives, counted from when it sent the last renewal that
 * succeeded, on a clock that may run slow; beyond that only while a majority of controllers gives
 * it time, see {@link Grants}.
 *
 * <p>A new leader needs the free key, and either a majority's time or proof that the last leader's
 * process is over. So whatever let the last one act is over before the new one acts for the first
 * time.
 */
public final class Leadership {

  /** What happens on this node; called on the loop. */
  public interface Listener {
    /**
     * This node leads from now on: the key has this version, and nobody led before its revision
     * without ending.
     */
    void elected(long term, long keyVersion);

    void deposed(String why);
  }

  private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

  /**
   * A permit lives for this share of a worker's lease, so that a new leader is there before leases
   * run out.
   */
  private static final double LIFE_PER_LEASE = 1.0 / 5;

  private static final double RENEWALS_PER_LIFE = 4;

  private final Loop loop;
  private final StateClient state;
  private final Settings settings;
  private final RandomGenerator random;
  private final Listener listener;
  private final Ballot ballot;
  private final Grants grants;
  private final StateBallot stateBallot;
  private final double lifeS;

  /** Tells this life of the process from earlier ones of the same node. */
  private final String incarnation;

  private boolean leading;
  private boolean standing;
  private long permit;
  private long term;
  private long keyVersion;
  private double validUntil = Double.NEGATIVE_INFINITY;
  private int renewal;
  private String leaderNode;
  private long leaderTerm = -1;

  /** Tries in a row in which most peers said nothing at all. */
  private int unreached;

  private long watchFrom = -1;
  private double keepsAliveUntil = Double.NEGATIVE_INFINITY;
  private double standAgainAt = Double.NEGATIVE_INFINITY;

  public Leadership(
      Loop loop,
      StateClient state,
      Settings settings,
      RandomGenerator random,
      Listener listener,
      Ballot ballot) {
    this.loop = loop;
    this.state = state;
    this.settings = settings;
    this.random = random;
    this.listener = listener;
    this.lifeS = Math.max(0.1, settings.leaseS() * LIFE_PER_LEASE);
    this.incarnation = Long.toHexString(random.nextLong());
    this.ballot = ballot;
    this.grants = new Grants(loop, lifeS, settings.controllers());
    this.stateBallot = new StateBallot(loop, state, settings.node(), incarnation, lifeS / 2);
  }

  public void start() {
    readLeader();
  }

  /** Whether nobody else may act: by its permit, or by its peers' time. */
  public boolean entitled() {
    double now = loop.now();
    return leading && (now < validUntil || now < grants.heldUntil());
  }

  /**
   * Whether this node may act for the controllers at this moment: also, whether it knows enough to.
   */
  public boolean acting() {
    return entitled() && loop.now() < keepsAliveUntil;
  }

  /** Whether the permit itself is known to live, not only the time that the peers give. */
  public boolean permitted() {
    return leading && loop.now() < validUntil;
  }

  /**
   * Whatever lets this node lead, from this moment on it renews no lease and launches nothing: by
   * then it might keep a task alive for too long whose cancellation it does not know.
   */
  public void keepAliveUntil(double until) {
    keepsAliveUntil = until;
  }

  public String incarnation() {
    return incarnation;
  }

  /** Time that a peer gave to this leader when asked at that moment. */
  public void granted(String peer, double askedAt) {
    if (leading) {
      grants.held(peer, askedAt);
    }
  }

  /**
   * Whether this node gives a peer time to lead. Time is for when the state service is away for
   * all: a leader that it refuses alone, or whose key is gone, gets none.
   */
  public boolean give(
      String node,
      String life,
      long askedTerm,
      boolean candidate,
      boolean peerServed,
      boolean served) {
    if (entitled() || served && (!peerServed || !candidate && askedTerm != leaderTerm)) {
      return false;
    }
    return grants.give(node, life, askedTerm);
  }

  public void peerGaveUp(String node, String life, long askedTerm) {
    grants.giveUp(node, life, askedTerm);
  }

  public boolean leading() {
    return leading;
  }

  public long term() {
    return term;
  }

  public long keyVersion() {
    return keyVersion;
  }

  /** The node that leads as far as is known here, or null. */
  public String leaderNode() {
    return leading ? (acting() ? settings.node() : null) : leaderNode;
  }

  /**
   * Long and at random against the time that a question to the peers takes, so that one stands
   * before the others.
   */
  private double pause() {
    return lifeS / 10 * (0.5 + random.nextDouble());
  }

  private void readLeader() {
    if (leading || standing) {
      return;
    }
    state.get(
        Keys.LEADER,
        true,
        answer -> {
          JsonNode body = answer.json();
          if (answer.ok() && body != null) {
            JsonNode value = body.path("Data");
            leaderNode = Json.text(value, "Node");
            leaderTerm = Json.count(value, "Term", -1);
            if (settings.node().equals(leaderNode)
                && !incarnation.equals(Json.text(value, "Life"))) {
              // The key is of an earlier life of this very process, which is over: it need not be
              // waited out.
              leaderNode = null;
              LOG.info(
                  "ending the permit {} of an earlier life of this node",
                  Json.count(body, "Permit", 0));
              state.release(
                  Json.count(body, "Permit", 0),
                  released -> loop.after(pause() / 4, this::readLeader));
              return;
            }
            watchFrom = Json.count(body, "Stamp", 0);
            watchLeader();
          } else if (answer.status() == 404 && body != null) {
            leaderNode = null;
            leaderTerm = -1;
            if (loop.now() < standAgainAt) {
              loop.after(pause(), this::readLeader);
            } else {
              stand();
            }
          } else {
            leaderNode = null;
            loop.after(pause(), this::readLeader);
          }
        });
  }

  private void watchLeader() {
    state.watch(
        Keys.LEADER,
        watchFrom,
        lifeS,
        answer -> {
          JsonNode body = answer.ok() ? answer.json() : null;
          if (body == null || !body.path("Events").isArray()) {
            // What is known may be old now. Saying nobody leads only sends workers to ask the next
            // node.
            leaderNode = answer.status() == 410 ? leaderNode : null;
            loop.after(pause(), this::readLeader);
          } else if (body.get("Events").isEmpty()) {
            watchFrom = Json.count(body, "Ledger", watchFrom);
            watchLeader();
          } else {
            leaderNode = null;
            leaderTerm = -1;
            loop.after(random.nextDouble() * lifeS / 20, this::readLeader);
          }
        });
  }

  private void stand() {
    standing = true;
    state.get(
        Keys.TERM,
        true,
        read -> {
          JsonNode old = read.json();
          if (!read.ok() && read.status() != 404 || old == null) {
            lost(0);
            return;
          }
          JsonNode last = old.path("Data");
          long lastTerm = read.ok() ? Json.count(last, "Term", 0) : 0;
          long version = read.ok() ? Json.count(old, "Stamp", 0) : 0;
          // Its own time first: two that give theirs to each other, or several that split the
          // votes, all fail.
          boolean own = grants.give(settings.node(), incarnation, lastTerm + 1);
          if (!own && grants.givenAway(settings.node(), incarnation, lastTerm + 1)) {
            // Another one stands, and has it.
            if (unreached > 1) {
              standThroughState(lastTerm, version);
            } else {
              lost(0);
            }
            return;
          }
          int ownVote = own ? 1 : 0;
          ballot.ask(
              lastTerm + 1,
              votes -> isOver(last, votes) || decided(votes, ownVote),
              votes -> {
                if (isOver(last, votes)
                    || lastTerm == 0
                    || given(votes) + ownVote >= grants.majority()) {
                  unreached = 0;
                  grant(lastTerm, version);
                  return;
                }
                LOG.debug(
                    "{} has no majority for term {}: {} of {} that answered gave their time",
                    settings.node(),
                    lastTerm + 1,
                    given(votes),
                    votes.size());
                giveUp(lastTerm + 1);
                if (votes.size() + 1 < grants.majority() && ++unreached > 1) {
                  standThroughState(lastTerm, version);
                } else {
                  lost(0);
                }
              });
        });
  }

  /**
   * Whether what is not heard yet cannot change the outcome any more: the time of others is not
   * held for it.
   */
  private boolean decided(List<Ballot.Vote> votes, int own) {
    long given = given(votes);
    return given + own >= grants.majority()
        || given + own + settings.peers().size() - votes.size() < grants.majority();
  }

  private void giveUp(long asked) {
    grants.giveUp(settings.node(), incarnation, asked);
    ballot.giveUp(asked);
  }

  /**
   * Without a way to most peers, but with the state service, a leader that is cut off could never
   * be replaced.
   */
  private void standThroughState(long lastTerm, long termVersion) {
    stateBallot.ask(
        lastTerm + 1,
        (node, life, asked) -> give(node, life, asked, true, true, true),
        given -> given.size() + 1 >= grants.majority(),
        given -> {
          if (elected(lastTerm + 1, given.size())) {
            unreached = 0;
            grant(lastTerm, termVersion);
          } else {
            lost(0);
          }
        });
  }

  /**
   * Whether the process that led last is over: another life of the same node has just answered, or
   * is this one.
   */
  private boolean isOver(JsonNode last, List<Ballot.Vote> votes) {
    String node = Json.text(last, "Node");
    String life = Json.text(last, "Life");
    return settings.node().equals(node)
        || votes.stream().anyMatch(v -> v.node().equals(node) && !v.life().equals(life));
  }

  private static long given(List<Ballot.Vote> votes) {
    return votes.stream().filter(Ballot.Vote::granted).count();
  }

  private boolean elected(long next, long given) {
    if (given + 1 < grants.majority()) {
      return false;
    }
    return given >= grants.majority() || grants.give(settings.node(), incarnation, next);
  }

  private void grant(long lastTerm, long termVersion) {
    double sentAt = loop.now();
    state.grant(
        lifeS,
        granted -> {
          JsonNode body = granted.ok() ? granted.json() : null;
          if (body == null) {
            lost(0);
          } else {
            claim(Json.count(body, "Permit", 0), sentAt, lastTerm, termVersion);
          }
        });
  }

  private void claim(long mine, double sentAt, long lastTerm, long termVersion) {
    long next = lastTerm + 1;
    Txn txn =
        new Txn()
            .guard(Keys.LEADER, 0)
            .guard(Keys.TERM, termVersion)
            .set(
                Keys.LEADER,
                Json.object()
                    .put("Node", settings.node())
                    .put("Life", incarnation)
                    .put("Term", next),
                mine)
            .set(
                Keys.TERM,
                Json.object()
                    .put("Term", next)
                    .put("Node", settings.node())
                    .put("Life", incarnation));
    state.commit(
        txn,
        true,
        answer -> {
          JsonNode body = answer.ok() ? answer.json() : null;
          if (body == null) {
            // A claim whose answer was lost may still be carried out, but only as long as the
            // permit lives.
            lost(mine);
            return;
          }
          standing = false;
          leading = true;
          permit = mine;
          term = next;
          keyVersion = Json.count(body, "Ledger", 0);
          validUntil = sentAt + Settings.shrunk(lifeS);
          keepsAliveUntil = Double.NEGATIVE_INFINITY;
          grants.holdNone();
          renewal++;
          LOG.info(
              "{} leads term {}: the leader's key was free; permit {}",
              settings.node(),
              term,
              permit);
          listener.elected(term, keyVersion);
          renewLater(renewal);
        });
  }

  private void lost(long mine) {
    Runnable again =
        () -> {
          standing = false;
          readLeader();
        };
    if (mine == 0) {
      loop.after(pause(), again);
    } else {
      state.release(mine, released -> loop.after(pause(), again));
    }
  }

  private void renewLater(int of) {
    loop.after(
        lifeS / RENEWALS_PER_LIFE,
        () -> {
          if (leading && of == renewal) {
            renew(of);
          }
        });
  }

  private void renew(int of) {
    double sentAt = loop.now();
    state.renew(
        permit,
        Math.min(StateClient.TIMEOUT_S, lifeS / 2),
        answer -> {
          if (!leading || of != renewal) {
            return;
          }
          if (answer.ok()) {
            validUntil = Math.max(validUntil, sentAt + Settings.shrunk(lifeS));
            renewLater(of);
          } else if (answer.status() == 404) {
            stepDown("its permit is over");
          } else {
            missed(of, answer);
          }
        });
  }

  private void missed(int of, Answer answer) {
    if (!permitted()) {
      // Not the end yet: after an outage of the state service the permit has its full time once
      // more.
      LOG.debug("renewal failed with {}; acting on the peers' time: {}", answer.status(), acting());
    }
    loop.after(
        lifeS / 20,
        () -> {
          if (leading && of == renewal) {
            renew(of);
          }
        });
  }

  /** Steps down for others, and leaves them the time of a worker's lease before trying again. */
  public void giveWay(String why) {
    standAgainAt = loop.now() + settings.leaseS() / 2;
    stepDown(why);
  }

  /**
   * Gives the leadership up, on proof that it is gone or because another node would serve better.
   */
  public void stepDown(String why) {
    if (!leading) {
      return;
    }
    LOG.info("{} ends leading term {}: {}", settings.node(), term, why);
    leading = false;
    renewal++;
    validUntil = Double.NEGATIVE_INFINITY;
    grants.holdNone();
    leaderNode = null;
    leaderTerm = -1;
    listener.deposed(why);
    ballot.giveUp(term);
    state.release(permit, released -> loop.after(lifeS / 2, this::readLeader));
  }
}
