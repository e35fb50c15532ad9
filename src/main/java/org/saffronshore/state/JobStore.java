package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
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

    public enum Accepted { NEW, KNOWN, UNKNOWN, OVERLOADED }

    private static final int REMEMBERED = 20_000;
    private static final int MOST_CANCELLED = 500;
    private static final double PAUSE_S = 0.05;
    /** A transaction may be 64 KiB long; this leaves room for its guards. */
    private static final int MOST_BYTES = 40 * 1024;

    private record Cancelled(String id, double at) {}

    private record Submission(JobSpec job, JsonNode record, int bytes, Consumer<Accepted> then) {}

    private final Loop loop;
    private final StateClient state;
    private final int mostPerTxn;
    private final int mostWaiting;
    private final ArrayDeque<Submission> waiting = new ArrayDeque<>();
    private boolean committing;
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
        this.mostPerTxn = Math.max(1, settings.txnOps());
        // About what the write budget takes in a second.
        this.mostWaiting = (int) Math.max(4, settings.stateWriteRps() / settings.controllers());
    }

    public static JsonNode endRecord(Status status) {
        return Json.object().put("State", status == Status.DONE ? "done" : "aborted");
    }

    /** Accepts a job, once. Submissions that arrive while a commit is under way share the next one. */
    public void accept(JobSpec job, long submittedMs, Consumer<Accepted> then) {
        if (waiting.size() >= mostWaiting) {
            then.accept(Accepted.OVERLOADED);
            return;
        }
        var record = Json.object().put("At", submittedMs);
        record.set("Spec", job.toJson());
        waiting.add(new Submission(job, record, Json.bytes(record).length, then));
        if (!committing) {
            commitNext();
        }
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
        while (!waiting.isEmpty() && batch.size() < most && !ids.contains(waiting.peek().job.id())
                && (batch.isEmpty() || bytes + waiting.peek().bytes <= MOST_BYTES)) {
            Submission s = waiting.poll();
            batch.add(s);
            ids.add(s.job.id());
            bytes += s.bytes;
            txn.guard(Keys.job(s.job.id()), 0).guard(Keys.end(s.job.id()), 0).set(Keys.job(s.job.id()), s.record);
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
            boolean told = false;
            List<Submission> again = new ArrayList<>();
            for (Submission s : batch) {
                if (failed.contains(s.job.id())) {
                    told = true;
                    s.then.accept(Accepted.KNOWN);
                } else {
                    again.add(s);
                }
            }
            for (int i = again.size() - 1; i >= 0; i--) {
                if (told) {
                    waiting.addFirst(again.get(i));
                } else {
                    again.get(i).then.accept(Accepted.UNKNOWN);
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
     */
    public void look(String id, Consumer<Status> then) {
        Status known = ends.get(id);
        if (known != null) {
            then.accept(known);
            return;
        }
        state.get(Keys.job(id), false, open -> {
            if (open.ok()) {
                then.accept(Status.OPEN);
            } else if (open.status() == 404) {
                lookForEnd(id, then);
            } else {
                then.accept(Status.UNKNOWN);
            }
        });
    }

    private void lookForEnd(String id, Consumer<Status> then) {
        state.get(Keys.end(id), false, end -> {
            JsonNode body = end.ok() ? end.json() : null;
            String text = body == null ? null : Json.text(body.path("Data"), "State");
            if ("done".equals(text)) {
                then.accept(remember(id, Status.DONE));
            } else if ("aborted".equals(text)) {
                then.accept(remember(id, Status.CANCELLED));
            } else {
                then.accept(end.status() == 404 ? Status.ABSENT : Status.UNKNOWN);
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
            Txn txn = new Txn().guard(Keys.job(id), Json.count(body, "Stamp", -1)).guard(Keys.end(id), 0)
                    .set(Keys.end(id), endRecord(Status.CANCELLED)).remove(Keys.job(id));
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
