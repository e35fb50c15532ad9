package org.saffronshore.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.saffronshore.FakeStateService;
import org.saffronshore.ManualEventLoop;
import org.saffronshore.TestData;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.state.Keys;
import org.saffronshore.state.StateClient;
import org.saffronshore.wire.InvalidFieldException;

/** Candidates on a manual clock, with a fake state service and a network that can fail. */
abstract class LeadershipTestBase {
  static final double LIFE_S = TestData.LEASE_S / 5;
  final ManualEventLoop loop = new ManualEventLoop();
  final FakeStateService service = new FakeStateService(loop);
  final Random random = new Random(5);

  /** For so long after they were served leaders know enough of cancellations to act. */
  static final double KNOWING_S = LIFE_S * 5;

  final List<Candidate> all = new ArrayList<>();
  ObjectNode settingsJson = TestData.settingsJson();

  /**
   * One candidate, which can be cut from the state service, or stand still while its clock runs on.
   */
  final class Candidate implements Leadership.Listener, PeerVoting, EventLoop {
    final String name;
    final Leadership leadership;
    final List<Long> terms = new ArrayList<>();
    boolean cut;
    boolean unresponsive;
    boolean dead;
    boolean still;
    private long calls;
    private final Map<Candidate, Double> reachedAt = new HashMap<>();
    private final List<Runnable> unread = new ArrayList<>();
    private final List<Runnable> overdue = new ArrayList<>();

    Candidate(String name, int seed) {
      this.name = name;
      Settings settings;
      try {
        settings = Settings.parse(settingsJson.put("node", name));
      } catch (InvalidFieldException e) {
        throw new AssertionError(e);
      }
      StateClient state =
          new StateClient(
              this,
              (to, method, path, body, timeoutS, then) -> {
                if (dead) {
                  return;
                }
                if (cut) {
                  loop.schedule(
                      timeoutS, () -> then.onResponse(org.saffronshore.http.Response.LOST));
                } else {
                  service.send(
                      to,
                      method,
                      path,
                      body,
                      timeoutS,
                      answer -> run(unread, () -> then.onResponse(answer)));
                }
              },
              settings);
      leadership = new Leadership(this, state, settings, new Random(seed), this, this);
      all.add(this);
      leadership.start();
      sendHeartbeat();
    }

    @Override
    public double now() {
      return loop.now();
    }

    @Override
    public Timer schedule(double seconds, Runnable action) {
      return loop.schedule(seconds, () -> run(overdue, action));
    }

    private void run(List<Runnable> later, Runnable action) {
      if (still) {
        later.add(action);
      } else if (!dead) {
        action.run();
      }
    }

    /** What came meanwhile is read first, and then what was due is done. */
    void wake() {
      still = false;
      for (List<Runnable> waiting : List.of(unread, overdue)) {
        List<Runnable> all = List.copyOf(waiting);
        waiting.clear();
        all.forEach(action -> run(waiting, action));
      }
    }

    private boolean served() {
      return !cut && !service.away.test("GET", "");
    }

    private List<Candidate> launchMarkSaved() {
      return all.stream()
          .filter(
              c -> c != this && !c.unresponsive && !unresponsive && !c.dead && !dead && !c.still)
          .toList();
    }

    /** What the peer link does: a leader asks for time again and again. */
    private void sendHeartbeat() {
      if (served()) {
        leadership.allowRenewalsUntil(loop.now() + KNOWING_S);
      }
      launchMarkSaved().forEach(peer -> reachedAt.put(peer, loop.now()));
      if (leadership.isActive()) {
        double askedAt = loop.now();
        for (Candidate peer : launchMarkSaved()) {
          if (peer.leadership.grantLease(
              request(leadership.term(), LeaseRequest.Role.LEADER, served()), peer.served())) {
            leadership.recordGrant(peer.name, askedAt);
          }
        }
      }
      schedule(LIFE_S / 6, this::sendHeartbeat);
    }

    private ControllerProcess process() {
      return new ControllerProcess(name, leadership.incarnation());
    }

    private LeaseRequest request(long term, LeaseRequest.Role role, boolean stateServiceAvailable) {
      return new LeaseRequest(process(), term, role, stateServiceAvailable);
    }

    @Override
    public void requestVotes(long term, Predicate<List<Vote>> enough, Consumer<List<Vote>> then) {
      // What was overtaken by a later message of the same process is not heeded.
      long call = ++calls;
      List<Vote> votes = new ArrayList<>();
      Set<Candidate> missing = new HashSet<>(all);
      missing.remove(this);
      missing.removeIf(peer -> loop.now() > reachedAt.getOrDefault(peer, loop.now()) + LIFE_S / 2);
      boolean[] told = new boolean[1];
      Consumer<Boolean> tell =
          last -> {
            if (!told[0] && (last || missing.isEmpty() || enough.test(votes))) {
              told[0] = true;
              then.accept(votes);
            }
          };
      // Each question and each answer is under way for a moment, in which others may ask as well.
      for (Candidate peer : launchMarkSaved()) {
        loop.schedule(
            0.02 * random.nextDouble(),
            () -> {
              if (call != calls) {
                return;
              }
              Vote vote =
                  new Vote(
                      peer.name,
                      peer.leadership.incarnation(),
                      peer.leadership.grantLease(
                          request(term, LeaseRequest.Role.CANDIDATE, served()), peer.served()));
              loop.schedule(
                  0.02 * random.nextDouble(),
                  () ->
                      run(
                          unread,
                          () -> {
                            votes.add(vote);
                            missing.remove(peer);
                            tell.accept(false);
                          }));
            });
      }
      loop.schedule(0.001, () -> run(unread, () -> tell.accept(false)));
      // Who is newly out of reach is waited for, as long as it matters: so two may well stand at
      // the same time.
      loop.schedule(LIFE_S / 4, () -> run(unread, () -> tell.accept(true)));
      // The network may deliver a question once more, long after the one who asked is gone.
      double late = random.nextDouble() * LIFE_S;
      launchMarkSaved()
          .forEach(
              peer ->
                  loop.schedule(
                      late,
                      () -> {
                        if (dead) {
                          peer.leadership.grantLease(
                              request(term, LeaseRequest.Role.CANDIDATE, true), peer.served());
                        }
                      }));
    }

    @Override
    public void withdraw(long term) {
      calls++;
      launchMarkSaved().forEach(peer -> peer.leadership.recordWithdrawal(process(), term));
    }

    @Override
    public void onElected(long term, long keyVersion) {
      terms.add(term);
      leadership.allowRenewalsUntil(loop.now() + KNOWING_S);
      assertEquals(keyVersion, service.version(Keys.LEADER));
    }

    @Override
    public void onDeposed(String why) {
      assertFalse(why.isEmpty());
    }
  }

  long isActive() {
    return all.stream().filter(c -> !c.dead && c.leadership.isActive()).count();
  }

  Candidate leader() {
    return all.stream().filter(c -> !c.dead && c.leadership.isActive()).findFirst().get();
  }

  /** Lets time pass in steps, in none of which two may lead; for how long of it nobody did. */
  double timeWithoutLeader(int steps, double stepS) {
    double without = 0;
    for (int step = 0; step < steps; step++) {
      loop.pass(stepS);
      assertTrue(isActive() <= 1);
      without += isActive() == 0 ? stepS : 0;
    }
    return without;
  }

  void three() {
    several(3, 1);
  }

  void several(int nodes, int seed) {
    var peers = settingsJson.putArray("peers");
    for (int i = 1; i < nodes; i++) {
      peers.addObject().put("node", "n-" + i).put("area", "a").put("addr", "10.0.0.2:" + i);
    }
    for (int i = 0; i < nodes; i++) {
      new Candidate("n-" + i, i + seed);
    }
    loop.pass(LIFE_S * 3);
  }
}
