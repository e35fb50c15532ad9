package org.saffronshore.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.saffronshore.HandLoop;
import org.saffronshore.Samples;
import org.saffronshore.StateStandIn;
import org.saffronshore.config.Settings;
import org.saffronshore.state.Keys;
import org.saffronshore.state.StateClient;
import org.saffronshore.wire.InvalidField;

class LeadershipTest {
    private static final double LIFE_S = Samples.LEASE_S / 5;
    private final HandLoop loop = new HandLoop();
    private final StateStandIn service = new StateStandIn(loop);

    /** One candidate, which can be cut from the state service. */
    private final class Candidate implements Leadership.Listener {
        final Leadership leadership;
        final List<Long> terms = new ArrayList<>();
        boolean cut;

        Candidate(String name, int seed) {
            ObjectNode json = Samples.settingsJson();
            json.put("node", name);
            Settings settings;
            try {
                settings = Settings.parse(json);
            } catch (InvalidField e) {
                throw new AssertionError(e);
            }
            StateClient state = new StateClient(loop, (to, method, path, body, timeoutS, then) -> {
                if (cut) {
                    loop.after(timeoutS, () -> then.receive(org.saffronshore.http.Answer.LOST));
                } else {
                    service.send(to, method, path, body, timeoutS, then);
                }
            }, settings);
            leadership = new Leadership(loop, state, settings, new Random(seed), this);
            leadership.start();
        }

        @Override
        public void elected(long term, long keyVersion) {
            terms.add(term);
            assertEquals(keyVersion, service.version(Keys.LEADER));
        }

        @Override
        public void deposed(String why) {
            assertFalse(why.isEmpty());
        }
    }

    private static long acting(List<Candidate> all) {
        return all.stream().filter(c -> c.leadership.acting()).count();
    }

    @Test
    void oneOfThreeLeadsAndTheOthersKnowIt() {
        List<Candidate> all = List.of(new Candidate("n-0", 1), new Candidate("n-1", 2), new Candidate("n-2", 3));
        loop.pass(LIFE_S * 3);
        assertEquals(1, acting(all));
        String leader = all.stream().filter(c -> c.leadership.acting()).findFirst().get().leadership.leaderNode();
        assertTrue(all.stream().allMatch(c -> leader.equals(c.leadership.leaderNode())));
    }

    /** A leader that cannot renew stops acting before its key can end, so that two never act at once. */
    @Test
    void neverTwoAtOnce() {
        List<Candidate> all = List.of(new Candidate("n-0", 1), new Candidate("n-1", 2));
        loop.pass(LIFE_S);
        for (int round = 0; round < 6; round++) {
            Candidate leader = all.stream().filter(c -> c.leadership.acting()).findFirst().get();
            leader.cut = true;
            for (int step = 0; step < 500; step++) {
                loop.pass(LIFE_S / 100);
                assertTrue(acting(all) <= 1);
            }
            assertFalse(leader.leadership.acting());
            assertEquals(1, acting(all));
            leader.cut = false;
            loop.pass(LIFE_S * 2);
        }
        long terms = all.stream().mapToLong(c -> c.terms.size()).sum();
        assertEquals(terms, all.stream().flatMap(c -> c.terms.stream()).distinct().count(), "no term is led twice");
    }

    @Test
    void outlivesAnOutageInItsTerm() {
        Candidate one = new Candidate("n-0", 1);
        loop.pass(LIFE_S);
        service.away = (method, path) -> true;
        loop.pass(LIFE_S / 2);
        service.away = (method, path) -> false;
        loop.pass(LIFE_S);
        assertTrue(one.leadership.acting());
        assertEquals(List.of(1L), one.terms);
    }

    /** The process that held the key is over, so its next life need not wait for the permit to run out. */
    @Test
    void nextLifeOfTheLeaderTakesOverAtOnce() {
        Candidate first = new Candidate("n-0", 1);
        loop.pass(LIFE_S);
        first.cut = true;
        Candidate second = new Candidate("n-0", 9);
        loop.pass(LIFE_S / 4);
        assertTrue(second.leadership.acting());
        assertEquals(List.of(2L), second.terms);
    }

    /** A claim that is carried out after its sender gave up must not make anybody lead. */
    @Test
    void lateClaimLeadsNobody() {
        service.held = (method, path) -> path.equals("/commit");
        Candidate one = new Candidate("n-0", 1);
        loop.pass(1.6);
        assertFalse(one.leadership.acting());
        service.held = (method, path) -> false;
        service.deliverLate();
        assertNull(service.value(Keys.LEADER), "its permit was given back");
        loop.pass(LIFE_S * 2);
        assertTrue(one.leadership.acting());
    }
}
