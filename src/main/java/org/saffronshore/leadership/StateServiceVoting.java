package org.saffronshore.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.saffronshore.http.Loop;
import org.saffronshore.state.Keys;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.Txn;
import org.saffronshore.wire.Json;

/**
 * Requests votes through the state service, for when the controllers do not reach one another
 * although it serves them. A candidate writes down its request. The others find it when they want
 * to campaign themselves, grant it their leases as they would if it had asked them directly, and
 * write down their votes. A vote for an earlier request does not count.
 */
final class StateServiceVoting {
  private static final int LOOKS = 5;

  /** After this many readings without a change, the candidate of a request counts as gone. */
  private static final int STALE = 3;

  /** Grants this node's lease to an incarnation of another one. */
  @FunctionalInterface
  interface Granter {
    boolean grant(String node, String life, long term);
  }

  private final Loop loop;
  private final StateClient state;
  private final String node;
  private final String life;
  private final double roundS;
  private long calls;
  private String seenCall = "";
  private int seen;

  StateServiceVoting(Loop loop, StateClient state, String node, String life, double roundS) {
    this.loop = loop;
    this.state = state;
    this.node = node;
    this.life = life;
    this.roundS = roundS;
  }

  /** Tells which nodes voted for this one; none when another candidate has precedence. */
  void requestVotes(
      long term, Granter giver, Predicate<Set<String>> enough, Consumer<Set<String>> then) {
    state.get(
        Keys.CALL,
        true,
        answer -> {
          JsonNode body = answer.ok() ? answer.json() : null;
          if (body == null && answer.status() != 404) {
            then.accept(Set.of());
          } else if (body != null && goesFirst(body.path("Data"), term)) {
            grant(body, term, giver, () -> then.accept(Set.of()));
          } else {
            call(term, body == null ? 0 : Json.count(body, "Stamp", -1), enough, then);
          }
        });
  }

  /** Of two candidates the lesser name has precedence, as long as it keeps requesting. */
  private boolean goesFirst(JsonNode call, long term) {
    String by = Json.text(call, "Node");
    if (by == null || by.compareTo(node) >= 0 || Json.count(call, "Term", -1) != term) {
      return false;
    }
    String which = Json.text(call, "Life") + "/" + Json.count(call, "N", 0);
    seen = which.equals(seenCall) ? seen + 1 : 1;
    seenCall = which;
    return seen <= STALE;
  }

  private void grant(JsonNode entry, long term, Granter giver, Runnable then) {
    JsonNode call = entry.path("Data");
    String to = Json.text(call, "Node");
    String toLife = Json.text(call, "Life");
    if (toLife == null || !giver.grant(to, toLife, term)) {
      then.run();
      return;
    }
    // If it is carried out late, it must not replace a vote for a later request.
    Txn txn =
        new Txn()
            .guard(Keys.CALL, Json.count(entry, "Stamp", -1))
            .set(
                Keys.vote(node),
                Json.object()
                    .put("Term", term)
                    .put("To", to)
                    .put("Life", toLife)
                    .put("N", Json.count(call, "N", 0)));
    state.commit(txn, true, answer -> then.run());
  }

  private void call(
      long term, long version, Predicate<Set<String>> enough, Consumer<Set<String>> then) {
    long number = ++calls;
    Txn txn =
        new Txn()
            .guard(Keys.CALL, version)
            .set(
                Keys.CALL,
                Json.object()
                    .put("Node", node)
                    .put("Life", life)
                    .put("Term", term)
                    .put("N", number));
    state.commit(
        txn,
        true,
        answer -> {
          if (answer.ok()) {
            loop.after(roundS / LOOKS, () -> look(term, number, 1, enough, then));
          } else {
            then.accept(Set.of());
          }
        });
  }

  private void look(
      long term,
      long number,
      int looks,
      Predicate<Set<String>> enough,
      Consumer<Set<String>> then) {
    state.list(
        Keys.VOTES,
        true,
        votes -> {
          Set<String> granted = new HashSet<>();
          if (votes != null) {
            for (StateClient.Entry e : votes.entries()) {
              JsonNode v = e.value();
              if (Json.count(v, "Term", -1) == term
                  && node.equals(Json.text(v, "To"))
                  && life.equals(Json.text(v, "Life"))
                  && Json.count(v, "N", -1) == number) {
                granted.add(e.key().substring(Keys.VOTES.length()));
              }
            }
          }
          if (enough.test(granted) || looks >= LOOKS) {
            then.accept(granted);
          } else {
            loop.after(roundS / LOOKS, () -> look(term, number, looks + 1, enough, then));
          }
        });
  }
}
