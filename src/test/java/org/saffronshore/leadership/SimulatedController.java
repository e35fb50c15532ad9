package org.saffronshore.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

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
import org.saffronshore.http.Client;
import org.saffronshore.http.EventLoop;
import org.saffronshore.http.Response;
import org.saffronshore.state.Keys;
import org.saffronshore.state.StateClient;

/**
 * A process of a controller that takes part in elections. Its connections to the state service and
 * to its peers can be cut, and its event loop can be paused while the clock continues.
 */
final class SimulatedController implements Leadership.Listener, PeerVoting, EventLoop {
  static final double LEASE_DURATION_S = TestData.LEASE_S / 5;

  /** How long a leader may renew leases after its last access to the state service, in seconds. */
  private static final double RENEWALS_ALLOWED_S = LEASE_DURATION_S * 5;

  private static final double MAX_MESSAGE_DELAY_S = 0.02;

  final String name;
  final Leadership leadership;
  final List<Long> termsLed = new ArrayList<>();
  boolean cutFromStateService;
  boolean cutFromPeers;
  boolean stopped;
  boolean paused;
  private final ManualEventLoop loop;
  private final FakeStateService service;
  private final Random random;
  private final List<SimulatedController> controllers;
  private long lastMessageNumber;
  private final Map<SimulatedController, Double> lastReachedAt = new HashMap<>();
  private final List<Runnable> unreadMessages = new ArrayList<>();
  private final List<Runnable> overdueTimers = new ArrayList<>();

  /**
   * Starts a controller.
   *
   * @param random the source of random message delays
   * @param controllers all running controllers; this one is added
   * @param seed the seed of this controller's own random numbers
   */
  SimulatedController(
      ManualEventLoop loop,
      FakeStateService service,
      Random random,
      List<SimulatedController> controllers,
      Settings settings,
      long seed) {
    this.loop = loop;
    this.service = service;
    this.random = random;
    this.controllers = controllers;
    this.name = settings.node();
    StateClient state = new StateClient(this, stateServiceConnection(), settings);
    leadership = new Leadership(this, state, settings, new Random(seed), this, this);
    controllers.add(this);
    leadership.start();
    sendHeartbeat();
  }

  private Client stateServiceConnection() {
    return (to, method, path, body, timeoutS, then) -> {
      if (stopped) {
        return;
      }
      if (cutFromStateService) {
        loop.schedule(timeoutS, () -> then.onResponse(Response.LOST));
      } else {
        service.send(
            to,
            method,
            path,
            body,
            timeoutS,
            response -> runUnlessPaused(unreadMessages, () -> then.onResponse(response)));
      }
    };
  }

  @Override
  public double now() {
    return loop.now();
  }

  @Override
  public Timer schedule(double seconds, Runnable action) {
    return loop.schedule(seconds, () -> runUnlessPaused(overdueTimers, action));
  }

  private void runUnlessPaused(List<Runnable> deferred, Runnable action) {
    if (paused) {
      deferred.add(action);
    } else if (!stopped) {
      action.run();
    }
  }

  /** Ends a pause. Messages that arrived meanwhile are read first, then the overdue timers fire. */
  void resume() {
    paused = false;
    for (List<Runnable> deferred : List.of(unreadMessages, overdueTimers)) {
      List<Runnable> actions = List.copyOf(deferred);
      deferred.clear();
      actions.forEach(action -> runUnlessPaused(deferred, action));
    }
  }

  private boolean isStateServiceAvailable() {
    return !cutFromStateService && !service.unavailableFor.test("GET", "");
  }

  private boolean isReachable() {
    return !cutFromPeers && !stopped;
  }

  private List<SimulatedController> reachablePeers() {
    return controllers.stream()
        .filter(peer -> peer != this && isReachable() && peer.isReachable() && !peer.paused)
        .toList();
  }

  /** Replaces the heartbeats between peers: an active leader renews its leases periodically. */
  private void sendHeartbeat() {
    if (isStateServiceAvailable()) {
      leadership.allowRenewalsUntil(loop.now() + RENEWALS_ALLOWED_S);
    }
    reachablePeers().forEach(peer -> lastReachedAt.put(peer, loop.now()));
    if (leadership.isActive()) {
      double requestedAt = loop.now();
      LeaseRequest request =
          request(leadership.term(), LeaseRequest.Role.LEADER, isStateServiceAvailable());
      for (SimulatedController peer : reachablePeers()) {
        if (peer.grantLease(request)) {
          leadership.recordGrant(peer.name, requestedAt);
        }
      }
    }
    schedule(LEASE_DURATION_S / 6, this::sendHeartbeat);
  }

  private ControllerProcess process() {
    return new ControllerProcess(name, leadership.incarnation());
  }

  private LeaseRequest request(long term, LeaseRequest.Role role, boolean stateServiceAvailable) {
    return new LeaseRequest(process(), term, role, stateServiceAvailable);
  }

  private boolean grantLease(LeaseRequest request) {
    return leadership.grantLease(request, isStateServiceAvailable());
  }

  @Override
  public void requestVotes(
      long term, Predicate<List<Vote>> isDecided, Consumer<List<Vote>> onVotesReceived) {
    long message = ++lastMessageNumber;
    List<Vote> votes = new ArrayList<>();
    Set<SimulatedController> missing = new HashSet<>(controllers);
    missing.remove(this);
    missing.removeIf(
        peer -> loop.now() > lastReachedAt.getOrDefault(peer, loop.now()) + LEASE_DURATION_S / 2);
    boolean[] reported = new boolean[1];
    Consumer<Boolean> reportIfDecided =
        timedOut -> {
          if (!reported[0] && (timedOut || missing.isEmpty() || isDecided.test(votes))) {
            reported[0] = true;
            onVotesReceived.accept(votes);
          }
        };
    for (SimulatedController peer : reachablePeers()) {
      requestVote(
          peer,
          term,
          message,
          vote -> {
            votes.add(vote);
            missing.remove(peer);
            reportIfDecided.accept(false);
          });
    }
    loop.schedule(
        0.001, () -> runUnlessPaused(unreadMessages, () -> reportIfDecided.accept(false)));
    // The candidate waits for peers that became unreachable a short time ago while their votes
    // matter, so several candidates may campaign at the same time.
    loop.schedule(
        LEASE_DURATION_S / 4,
        () -> runUnlessPaused(unreadMessages, () -> reportIfDecided.accept(true)));
    deliverDuplicateAfterProcessEnd(term);
  }

  /**
   * Delays both the request and the response. Other candidates may request votes in the meantime.
   */
  private void requestVote(
      SimulatedController peer, long term, long message, Consumer<Vote> onVoteReceived) {
    loop.schedule(
        MAX_MESSAGE_DELAY_S * random.nextDouble(),
        () -> {
          // Peers ignore a message if the process has sent a later one.
          if (message != lastMessageNumber) {
            return;
          }
          LeaseRequest request =
              request(term, LeaseRequest.Role.CANDIDATE, isStateServiceAvailable());
          Vote vote = new Vote(peer.name, peer.leadership.incarnation(), peer.grantLease(request));
          loop.schedule(
              MAX_MESSAGE_DELAY_S * random.nextDouble(),
              () -> runUnlessPaused(unreadMessages, () -> onVoteReceived.accept(vote)));
        });
  }

  /** Delivers a copy of the request if the candidate's process has ended in the meantime. */
  private void deliverDuplicateAfterProcessEnd(long term) {
    double delayS = random.nextDouble() * LEASE_DURATION_S;
    for (SimulatedController peer : reachablePeers()) {
      loop.schedule(
          delayS,
          () -> {
            if (stopped) {
              peer.grantLease(request(term, LeaseRequest.Role.CANDIDATE, true));
            }
          });
    }
  }

  @Override
  public void sendWithdrawal(long term) {
    lastMessageNumber++;
    reachablePeers().forEach(peer -> peer.leadership.recordWithdrawal(process(), term));
  }

  @Override
  public void onElected(long term, long keyVersion) {
    termsLed.add(term);
    leadership.allowRenewalsUntil(loop.now() + RENEWALS_ALLOWED_S);
    assertEquals(keyVersion, service.version(Keys.LEADER));
  }

  @Override
  public void onSteppedDown(String reason) {
    assertFalse(reason.isEmpty());
  }
}
