package org.saffronshore.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.saffronshore.HandLoop;
import org.saffronshore.Samples;
import org.saffronshore.StateStandIn;
import org.saffronshore.state.JobStore.Accepted;
import org.saffronshore.state.JobStore.Status;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Priority;

class JobStoreTest {
    private final HandLoop loop = new HandLoop();
    private final StateStandIn service = new StateStandIn(loop);
    private final JobStore here = store();
    private final JobStore there = store();
    private final List<Object> told = new ArrayList<>();

    private JobStore store() {
        return new JobStore(loop, new StateClient(loop, service, Samples.settings()), Samples.settings());
    }

    private static JobSpec job(int n) {
        return Samples.job("wk-" + n, "red", Priority.STANDARD, 2, 1);
    }

    private List<Object> told() {
        loop.pass(5);
        List<Object> all = List.copyOf(told);
        told.clear();
        return all;
    }

    @Test
    void acceptsOnceWhoeverIsAsked() {
        here.accept(job(1), 0, told::add);
        assertEquals(List.of(Accepted.NEW), told());
        there.accept(job(1), 0, told::add);
        assertEquals(List.of(Accepted.KNOWN), told());
        there.look("wk-1", told::add);
        there.look("wk-2", told::add);
        assertEquals(List.of(Status.OPEN, Status.ABSENT), told());
    }

    /** One known job among many must not keep the others from being accepted. */
    @Test
    void submissionsShareTransactions() {
        here.accept(job(3), 0, told::add);
        told();
        int before = service.log.size();
        for (int i = 0; i < 8; i++) {
            here.accept(job(i), 0, told::add);
        }
        List<Object> all = told();
        assertEquals(7, all.stream().filter(Accepted.NEW::equals).count());
        assertEquals(1, all.stream().filter(Accepted.KNOWN::equals).count());
        assertTrue(service.log.size() - before <= 4, service.log.toString());
    }

    /** What was lost may have happened: the user is told to come back, and the truth is found then. */
    @Test
    void lostAnswersAreNotGuessedAt() {
        service.answerLost = (method, path) -> path.equals("/commit");
        here.accept(job(1), 0, told::add);
        assertEquals(List.of(Accepted.UNKNOWN), told());
        here.cancel("wk-1", told::add);
        assertEquals(List.of(Status.UNKNOWN), told());
        service.answerLost = (method, path) -> false;
        here.cancel("wk-1", told::add);
        assertEquals(List.of(Status.CANCELLED), told());
        there.accept(job(1), 0, told::add);
        assertEquals(List.of(Accepted.KNOWN), told());
        there.look("wk-1", told::add);
        assertEquals(List.of(Status.CANCELLED), told());
    }

    /** A submission that is carried out late must not bring a job back that was cancelled meanwhile. */
    @Test
    void lateSubmissionDoesNotReviveAJob() {
        service.held = (method, path) -> path.equals("/commit");
        here.accept(job(1), 0, told::add);
        assertEquals(List.of(Accepted.UNKNOWN), told());
        service.held = (method, path) -> false;
        here.accept(job(1), 0, told::add);
        assertEquals(List.of(Accepted.NEW), told());
        here.cancel("wk-1", told::add);
        told();
        service.deliverLate();
        there.look("wk-1", told::add);
        assertEquals(List.of(Status.CANCELLED), told());
    }

    @Test
    void absenceIsOnlySaidWhenRead() {
        service.away = (method, path) -> path.contains("f/");
        here.look("wk-1", told::add);
        service.away = (method, path) -> true;
        here.look("wk-1", told::add);
        here.accept(job(1), 0, told::add);
        assertEquals(3, told().stream().filter(s -> s == Status.UNKNOWN || s == Accepted.UNKNOWN).count());
    }

    /** How a job ended never changes, so it is told even when the state service is away. */
    @Test
    void endsAreRemembered() {
        here.accept(job(1), 0, told::add);
        told();
        here.cancel("wk-1", told::add);
        told();
        service.away = (method, path) -> true;
        here.look("wk-1", told::add);
        here.cancel("wk-1", told::add);
        assertEquals(List.of(Status.CANCELLED, Status.CANCELLED), told());
    }

    @Test
    void refusesWhenItsShareOfTheRateIsSpent() {
        for (int i = 0; i < 2_000; i++) {
            here.accept(job(i), 0, told::add);
        }
        assertTrue(told.stream().filter(Accepted.OVERLOADED::equals).count() > 1_000, "refused at once");
        loop.pass(60);
        assertEquals(2_000, told.size(), "every submission got its answer");
    }
}
