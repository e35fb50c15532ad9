package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Answer;
import org.saffronshore.http.Loop;
import org.saffronshore.wire.Json;
import org.saffronshore.wire.JobSpec;

/**
 * What users are told about jobs. Every node answers from the state service itself, so that no node gives an
 * older answer than another one did. Only how a job ended is remembered here, since that never changes.
 */
public final class JobStore {

    /** What is known of a job: UNKNOWN means that the store could not tell, ABSENT that it was never accepted. */
    public enum Status { UNKNOWN, ABSENT, OPEN, DONE, CANCELLED }

    /** MISSING: it needs a job that was never accepted. */
    public enum Accepted { NEW, KNOWN, UNKNOWN, OVERLOADED, MISSING }

    private static final int REMEMBERED = 20_000;
    private static final int MOST_CANCELLED = 500;
    private static final double PAUSE_S = 0.05;
    /** A transaction may be 64 KiB long; this leaves room for its guards. */
    private static final int MOST_BYTES = 40 * 1024;
    private static final int TRIES = 4;
    /** A transaction may have so many times more guards than changes. */
    private static final int GUARDS_PER_CHANGE = 4;

    private record Cancelled(String id, double at) {}

    private record Submission(JobSpec job, JsonNode record, int bytes, Consumer<Accepted> then) {}

    /** What is never changed of a job's record while the job is open. */
    private record Open(long version, List<String> dependencies) {}

    /** How a job ended, and when, at a time of day; 0 when that was not written down. */
    public record End(Status status, long atMs) {}

    private final Loop loop;
    private final StateClient state;
    private final int mostPerTxn;
    private final int mostWaiting;
    private final ArrayDeque<Submission> waiting = new ArrayDeque<>();
    private boolean committing;
    private final int mostGuards;
    /** Open jobs that need others, or are needed, as far as they were read. */
    private final Map<String, Open> opens = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Open> eldest) {
            return size() > REMEMBERED;
        }
    };
    private final double tellsWithinS;
    /** Cancellations that this process made or read of, the latest last. */
    private final ArrayDeque<Cancelled> cancelled = new ArrayDeque<>();
    /** None learned of since then is missing there. */
    private double cancelledSince;
    private Consumer<String> onCancelled = id -> { };
    private final Map<String, Status> ends = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Status> eldest) {
            return size() > REMEMBERED;
        }
    };

    public JobStore(Loop loop, StateClient state, Settings settings) {
        this.loop = loop;
        this.state = state;
        this.tellsWithinS = settings.cancelS();
        this.cancelledSince = loop.now();
        this.mostGuards = GUARDS_PER_CHANGE * settings.txnOps();
        this.mostPerTxn = Math.max(1, settings.txnOps());
        // About what the write budget takes in a second.
        this.mostWaiting = (int) Math.max(4, settings.stateWriteRps() / settings.controllers());
    }

    /** @param atMs the time of day: the times of jobs that need this one count from then */
    public static JsonNode endRecord(Status status, long atMs) {
        return Json.object().put("State", status == Status.DONE ? "done" : "aborted").put("At", atMs);
    }

    /** Adds the one way in which a job ends: its key goes, and its end comes, if it is open in that version. */
    public static Txn end(Txn txn, String id, long version, Status status, long atMs) {
        return txn.guard(Keys.job(id), version).guard(Keys.end(id), 0).set(Keys.end(id), endRecord(status, atMs))
                .remove(Keys.job(id));
    }

    /** How many jobs one may need: each is guarded while it is open, beside the two keys of the job itself. */
    public int mostDependencies() {
        return mostGuards - 2;
    }

    /**
     * Accepts a job, once. Submissions that arrive while a commit is under way share the next one. A job that needs
     * others is accepted only if all of these were, which is read first.
     */
    public void accept(JobSpec job, long submittedMs, Consumer<Accepted> then) {
        var record = Json.object().put("At", submittedMs);
        record.set("Spec", job.toJson());
        accept(new Submission(job, record, Json.bytes(record).length, then));
    }

    private void accept(Submission s) {
        if (waiting.size() >= mostWaiting) {
            s.then.accept(Accepted.OVERLOADED);
            return;
        }
        read(s.job.dependencies(), worst -> {
            if (worst == Status.ABSENT) {
                s.then.accept(Accepted.MISSING);
            } else if (worst == Status.UNKNOWN) {
                s.then.accept(Accepted.UNKNOWN);
            } else {
                waiting.add(s);
                if (!committing) {
                    commitNext();
                }
            }
        });
    }

    /** What the commit is guarded by: the job is new, and what it needs and was open when that was read still is. */
    private int guard(Submission s, Txn txn) {
        txn.guard(Keys.job(s.job.id()), 0).guard(Keys.end(s.job.id()), 0);
        int guards = 2;
        for (String needed : s.job.dependencies()) {
            Open open = opens.get(needed);
            if (open != null && !ends.containsKey(needed)) {
                txn.guard(Keys.job(needed), open.version);
                guards++;
            }
        }
        return guards;
    }

    private void commitNext() {
        int most = Math.min(mostPerTxn, state.writable());
        if (most < 1) {
            // The queue is short: what waits here is written within about a second.
            committing = true;
            loop.after(PAUSE_S, this::commitNext);
            return;
        }
        List<Submission> batch = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        Txn txn = new Txn();
        int bytes = 0;
        int guards = 0;
        while (!waiting.isEmpty() && batch.size() < most && !ids.contains(waiting.peek().job.id())
                && (batch.isEmpty() || bytes + waiting.peek().bytes <= MOST_BYTES
                        && guards + 2 + waiting.peek().job.dependencies().size() <= mostGuards)) {
            Submission s = waiting.poll();
            batch.add(s);
            ids.add(s.job.id());
            bytes += s.bytes;
            guards += guard(s, txn);
            txn.set(Keys.job(s.job.id()), s.record);
        }
        committing = true;
        state.commit(txn, false, answer -> {
            committing = false;
            committed(batch, answer);
            if (!committing && !waiting.isEmpty()) {
                commitNext();
            }
        });
    }

    private void committed(List<Submission> batch, Answer answer) {
        if (answer.status() == 409) {
            Set<String> failed = new HashSet<>();
            JsonNode body = answer.json();
            if (body != null) {
                body.path("failed").forEach(key -> failed.add(Keys.idOf(key.asText())));
            }
            boolean explained = false;
            List<Submission> again = new ArrayList<>();
            for (Submission s : batch) {
                if (failed.contains(s.job.id())) {
                    explained = true;
                    s.then.accept(Accepted.KNOWN);
                } else {
                    again.add(s);
                }
            }
            for (int i = again.size() - 1; i >= 0; i--) {
                Submission s = again.get(i);
                if (s.job.dependencies().stream().anyMatch(failed::contains)) {
                    // A job that it needs has ended since that was read.
                    explained = true;
                    s.job.dependencies().stream().filter(failed::contains).forEach(opens::remove);
                    accept(s);
                } else if (explained) {
                    waiting.addFirst(s);
                } else {
                    s.then.accept(Accepted.UNKNOWN);
                }
            }
            return;
        }
        Accepted outcome = answer.ok() ? Accepted.NEW
                : answer.status() == 429 ? Accepted.OVERLOADED : Accepted.UNKNOWN;
        batch.forEach(s -> s.then.accept(outcome));
    }

    /**
     * Looks a job up. An open job's key is read before its end's: a job goes from one to the other in a single
     * transaction, so finding neither, in this order, proves that it was not accepted when the first was read.
     *
     * <p>A job is cancelled if it, or any that it needs, directly or through others, has that end: this is told as soon
     * as it is so, whoever is away and whether or not its own end was written. So of an open job that needs others all
     * of these must be open or done, at one moment: a transaction that only compares tells, in one request.
     */
    public void look(String id, Consumer<Status> then) {
        look(id, TRIES, then);
    }

    private void look(String id, int tries, Consumer<Status> then) {
        Status known = ends.get(id);
        if (known != null) {
            then.accept(known);
        } else if (tries == 0) {
            then.accept(Status.UNKNOWN);
        } else if (opens.containsKey(id)) {
            lookWithDependencies(id, tries, then);
        } else {
            readOpen(id, false, status -> {
                if (status == Status.OPEN && opens.containsKey(id)) {
                    lookWithDependencies(id, tries, then);
                } else {
                    then.accept(status);
                }
            });
        }
    }

    /** Reads one job's own record; it is kept if the job needs others, or is to be kept since it is needed. */
    private void readOpen(String id, boolean keep, Consumer<Status> then) {
        state.get(Keys.job(id), false, open -> {
            JsonNode body = open.ok() ? open.json() : null;
            if (body != null) {
                List<String> needed = new ArrayList<>();
                body.path("Data").path("Spec").path(JobSpec.DEPENDENCIES).forEach(n -> needed.add(n.asText()));
                if (keep || !needed.isEmpty()) {
                    opens.put(id, new Open(Json.count(body, "Stamp", -1), needed));
                }
                then.accept(Status.OPEN);
            } else if (open.status() == 404) {
                opens.remove(id);
                lookForEnd(id, then);
            } else {
                then.accept(Status.UNKNOWN);
            }
        });
    }

    /** Reads what is not known of some jobs; tells the worst of it: absent, then unknown, then anything else. */
    private void read(List<String> ids, Consumer<Status> then) {
        List<String> unread = ids.stream().filter(id -> !ends.containsKey(id) && !opens.containsKey(id)).toList();
        if (unread.isEmpty()) {
            then.accept(Status.OPEN);
            return;
        }
        int[] left = {unread.size()};
        Status[] worst = {Status.OPEN};
        for (String id : unread) {
            readOpen(id, true, status -> {
                if (status == Status.ABSENT || status == Status.UNKNOWN && worst[0] != Status.ABSENT) {
                    worst[0] = status;
                }
                if (--left[0] == 0) {
                    then.accept(worst[0]);
                }
            });
        }
    }

    private void lookWithDependencies(String id, int tries, Consumer<Status> then) {
        Set<String> open = new LinkedHashSet<>();
        List<String> unread = new ArrayList<>();
        ArrayDeque<String> todo = new ArrayDeque<>(List.of(id));
        while (!todo.isEmpty()) {
            String job = todo.poll();
            Status end = ends.get(job);
            if (end == Status.CANCELLED) {
                // Its own end is still to be written, by the leader, which learns of the other one.
                ends.put(id, Status.CANCELLED);
                then.accept(Status.CANCELLED);
                return;
            }
            if (end == null && !open.contains(job)) {
                Open known = opens.get(job);
                if (known == null) {
                    unread.add(job);
                } else {
                    open.add(job);
                    todo.addAll(known.dependencies);
                }
            }
        }
        if (!unread.isEmpty()) {
            read(unread.stream().distinct().toList(), worst -> {
                if (worst == Status.OPEN) {
                    // One level further each time: as many as the chain is deep.
                    lookWithDependencies(id, tries, then);
                } else {
                    then.accept(Status.UNKNOWN);
                }
            });
            return;
        }
        compare(new ArrayDeque<>(open), id, tries, then);
    }

    /** Asks whether all of these jobs are still open; as many at a time as a transaction may have guards. */
    private void compare(ArrayDeque<String> open, String id, int tries, Consumer<Status> then) {
        if (open.isEmpty()) {
            then.accept(Status.OPEN);
            return;
        }
        Txn txn = new Txn();
        for (int i = 0; i < mostGuards && !open.isEmpty(); i++) {
            String job = open.poll();
            Open known = opens.get(job);
            txn.guard(Keys.job(job), known == null ? -1 : known.version);
        }
        state.commit(txn, false, answer -> {
            JsonNode body = answer.json();
            if (answer.ok()) {
                compare(open, id, tries, then);
            } else if (answer.status() == 409 && body != null && !body.path("failed").isEmpty()) {
                List<String> over = new ArrayList<>();
                body.get("failed").forEach(key -> over.add(Keys.idOf(key.asText())));
                over.forEach(opens::remove);
                read(over, worst -> look(id, tries - 1, then));
            } else {
                then.accept(Status.UNKNOWN);
            }
        });
    }

    private void lookForEnd(String id, Consumer<Status> then) {
        readEnd(id, end -> then.accept(end.status()));
    }

    /** Reads how a job ended: absent when it has no end, unknown when that cannot be told. */
    public void readEnd(String id, Consumer<End> then) {
        state.get(Keys.end(id), false, end -> {
            JsonNode body = end.ok() ? end.json() : null;
            String text = body == null ? null : Json.text(body.path("Data"), "State");
            long atMs = body == null ? 0 : Json.count(body.path("Data"), "At", 0);
            if ("done".equals(text)) {
                then.accept(new End(remember(id, Status.DONE), atMs));
            } else if ("aborted".equals(text)) {
                then.accept(new End(remember(id, Status.CANCELLED), atMs));
            } else {
                then.accept(new End(end.status() == 404 ? Status.ABSENT : Status.UNKNOWN, 0));
            }
        });
    }

    public Status remember(String id, Status end) {
        if (ends.put(id, end) == null && end == Status.CANCELLED) {
            cancelled.add(new Cancelled(id, loop.now()));
            onCancelled.accept(id);
        }
        return end;
    }

    /** Whom to tell at once that this process made a cancellation, or read of one. */
    public void onCancelled(Consumer<String> listener) {
        onCancelled = listener;
    }

    /** The cancellations that this process learned of within the time that one may take. Whatever users were told here is among them. */
    public List<String> recentlyCancelled() {
        while (!cancelled.isEmpty()
                && (cancelled.size() > MOST_CANCELLED || cancelled.peek().at < loop.now() - tellsWithinS)) {
            cancelledSince = cancelled.poll().at;
        }
        return cancelled.stream().map(Cancelled::id).toList();
    }

    /** For how long {@link #recentlyCancelled} lacks nothing. */
    public double cancellationsCoverS() {
        recentlyCancelled();
        return loop.now() - cancelledSince;
    }

    /** Cancels a job that is open. The answer is how the job stands after that. */
    public void cancel(String id, Consumer<Status> then) {
        cancel(id, 3, then);
    }

    private void cancel(String id, int tries, Consumer<Status> then) {
        Status known = ends.get(id);
        if (known != null) {
            then.accept(known);
            return;
        }
        state.get(Keys.job(id), false, open -> {
            JsonNode body = open.ok() ? open.json() : null;
            if (open.status() == 404) {
                lookForEnd(id, then);
                return;
            }
            if (body == null) {
                then.accept(Status.UNKNOWN);
                return;
            }
            Txn txn = end(new Txn(), id, Json.count(body, "Stamp", -1), Status.CANCELLED, loop.wallMs());
            state.commit(txn, false, answer -> {
                if (answer.ok()) {
                    then.accept(remember(id, Status.CANCELLED));
                } else if (answer.status() == 409 && tries > 1) {
                    cancel(id, tries - 1, then);
                } else {
                    then.accept(Status.UNKNOWN);
                }
            });
        });
    }
}
