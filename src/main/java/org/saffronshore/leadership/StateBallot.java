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
 * Asks for time through the state service, for when the controllers do not reach one another
 * although it serves them. A candidate writes down that it asks; the others find that when they
 * want to stand themselves, give it their time as they would if it had asked them, and write that
 * down. What was given for an earlier call does not count.
 */
final class StateBallot {
  private static final int LOOKS = 5;

  /** A call that is seen this often without any change is of one that is gone. */
  private static final int STALE = 3;

  /** Gives the time of this node to a life of another one. */
  @FunctionalInterface
  interface Giver {
    boolean give(String node, String life, long term);
  }

  private final Loop loop;
  private final StateClient state;
  private final String node;
  private final String life;
  private final double roundS;
  private long calls;
  private String seenCall = "";
  private int seen;

  StateBallot(Loop loop, StateClient state, String node, String life, double roundS) {
    this.loop = loop;
    this.state = state;
    this.node = node;
    this.life = life;
    this.roundS = roundS;
  }

  /** Tells which nodes gave this one their time; none when another one asks that goes before it. */
  void ask(long term, Giver giver, Predicate<Set<String>> enough, Consumer<Set<String>> then) {
    state.get(
        Keys.CALL,
        true,
        answer -> {
          JsonNode body = answer.ok() ? answer.json() : null;
          if (body == null && answer.status() != 404) {
            then.accept(Set.of());
          } else if (body != null && goesFirst(body.path("Data"), term)) {
            give(body, term, giver, () -> then.accept(Set.of()));
          } else {
            call(term, body == null ? 0 : Json.count(body, "Stamp", -1), enough, then);
          }
        });
  }

  /** Of two that ask, the one with the lesser name goes first, as long as it goes on asking. */
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

  private void give(JsonNode entry, long term, Giver giver, Runnable then) {
    JsonNode call = entry.path("Data");
    String to = Json.text(call, "Node");
    String toLife = Json.text(call, "Life");
    if (toLife == null || !giver.give(to, toLife, term)) {
      then.run();
      return;
    }
    // Carried out late, it must not stand in the place of a vote for a later call.
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
          Set<String> given = new HashSet<>();
          if (votes != null) {
            for (StateClient.Entry e : votes.entries()) {
              JsonNode v = e.value();
              if (Json.count(v, "Term", -1) == term
                  && node.equals(Json.text(v, "To"))
                  && life.equals(Json.text(v, "Life"))
                  && Json.count(v, "N", -1) == number) {
                given.add(e.key().substring(Keys.VOTES.length()));
              }
            }
          }
          if (enough.test(given) || looks >= LOOKS) {
            then.accept(given);
          } else {
            loop.after(roundS / LOOKS, () -> look(term, number, looks + 1, enough, then));
          }
        });
  }
}
