package org.saffronshore.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.saffronshore.FakeStateService;
import org.saffronshore.ManualEventLoop;
import org.saffronshore.TestData;
import org.saffronshore.config.Settings;
import org.saffronshore.leadership.FencingTokens;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.leadership.Leadership;
import org.saffronshore.leadership.PeerVoting;
import org.saffronshore.state.Keys;
import org.saffronshore.state.LeaderRecord;
import org.saffronshore.state.StateClient;
import org.saffronshore.wire.InvalidFieldException;

/** Reservations of fencing tokens by the leader of the first term. */
class FencingTokenStoreTest {
  private static final long TERM = 1;

  private final ManualEventLoop loop = new ManualEventLoop();
  private final FakeStateService service = new FakeStateService(loop);
  private final Settings settings = settingsWithoutPeers();
  private final StateClient state = new StateClient(loop, service, settings);
  private final Leadership leadership =
      new Leadership(loop, state, settings, new Random(1), new Listener(), new NoPeers());
  private final FencingTokens tokens = new FencingTokens(TERM);
  private final LeaderTerm term = new LeaderTerm(loop, settings, leadership, tokens, () -> {});
  private FencingTokenStore store;

  private static Settings settingsWithoutPeers() {
    ObjectNode json = TestData.settingsJson();
    json.putArray("peers");
    try {
      return Settings.parse(json);
    } catch (InvalidFieldException e) {
      throw new AssertionError(e);
    }
  }

  /** The peers of a controller that has none. */
  private static final class NoPeers implements PeerVoting {
    @Override
    public void requestVotes(
        long term, Predicate<List<Vote>> isDecided, Consumer<List<Vote>> onVotesReceived) {
      onVotesReceived.accept(List.of());
    }

    @Override
    public void sendWithdrawal(long term) {}
  }

  /** Ignores the election; the test waits for it. */
  private static final class Listener implements Leadership.Listener {
    @Override
    public void onElected(long number, long leaderKeyVersion) {}

    @Override
    public void onSteppedDown(String reason) {}
  }

  @BeforeEach
  void awaitElection() {
    leadership.start();
    loop.advance(1);
    assertEquals(TERM, storedNumber());
    store =
        new FencingTokenStore(
            loop, settings, state, new TermTransactions(state, settings, term), term);
    tokens.launchSent(TERM);
  }

  private long storedNumber() {
    return LeaderRecord.parse(service.value(Keys.TERM)).term();
  }

  /** Lets the store write, and retry if necessary, for ten seconds. */
  private void save() {
    for (int i = 0; i < 100; i++) {
      store.save();
      loop.advance(0.1);
    }
  }

  @Test
  void tokensUpToTheStoredNumberAreReserved() {
    LeaderRecord elected = LeaderRecord.parse(service.value(Keys.TERM));
    save();
    assertTrue(tokens.isReserved(TERM + 1));
    assertEquals(storedNumber(), tokens.lastReserved());
    assertEquals(elected.withTerm(storedNumber()), LeaderRecord.parse(service.value(Keys.TERM)));
  }

  @Test
  void tokensAreNotUsedBeforeTheReservationIsConfirmed() {
    service.unavailableFor = (method, path) -> path.equals("/commit");
    save();
    assertFalse(tokens.isReserved(TERM + 1));
    service.unavailableFor = (method, path) -> false;
    save();
    assertTrue(tokens.isReserved(TERM + 1));
  }

  /** The key was changed by a reservation that this leader does not know to have succeeded. */
  @Test
  void reservationWhoseResponseWasLostIsFollowedByAnother() {
    service.responseLost = (method, path) -> path.equals("/commit");
    store.save();
    service.responseLost = (method, path) -> false;
    long lost = storedNumber();
    assertTrue(lost > TERM);
    assertFalse(tokens.isReserved(TERM + 1));
    save();
    assertTrue(storedNumber() > lost);
    assertEquals(storedNumber(), tokens.lastReserved());
  }

  @Test
  void reservationThatIsExecutedLateDoesNotLowerTheStoredNumber() {
    service.executionDelayed = (method, path) -> path.equals("/commit");
    store.save();
    service.executionDelayed = (method, path) -> false;
    save();
    long reserved = storedNumber();
    assertEquals(reserved, tokens.lastReserved());
    service.executeDelayedRequests();
    assertEquals(reserved, storedNumber());
  }

  /** A former leader must not raise the term key, or it could use the tokens of its successor. */
  @Test
  void formerLeaderReservesNothingAndStepsDown() {
    service.put(Keys.LEADER, new LeaderRecord("n-1", "1f", TERM + 1).toJson());
    store.save();
    loop.advance(0.5);
    assertFalse(leadership.isLeading());
    assertEquals(TERM, storedNumber());
    assertFalse(tokens.isReserved(TERM + 1));
  }
}
