package org.saffronshore.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import org.saffronshore.config.Settings;
import org.saffronshore.config.Settings.Peer;
import org.saffronshore.http.Client;
import org.saffronshore.http.Loop;
import org.saffronshore.http.Reply;
import org.saffronshore.http.Request;
import org.saffronshore.wire.Json;

/** What the controllers tell one another, in CBOR: whether the state service serves them, and jobs' progress. */
final class PeerLink {
    static final String CBOR = "application/cbor";
    private static final String HELLO = "/peer/hello";

    private final Loop loop;
    private final Settings settings;
    private final Client client;
    private final Node node;
    private final double periodS;
    /** When each peer last said that the state service serves it. */
    private final Map<String, Double> servedAt = new HashMap<>();
    private Map<String, Progress> progress = Map.of();
    private long progressTerm;

    PeerLink(Node node) {
        this.loop = node.loop();
        this.settings = node.settings();
        this.client = node.client();
        this.node = node;
        this.periodS = settings.reportS() / 3;
    }

    void start() {
        loop.every(periodS, this::hello);
    }

    private void hello() {
        byte[] body = Json.cbor(greeting());
        for (Peer peer : settings.peers()) {
            client.send(peer.address(), "POST", HELLO, body, periodS * 2, answer -> {
                JsonNode back = answer.ok() ? Json.parseCbor(answer.body()) : null;
                if (back != null) {
                    heard(back);
                }
            });
        }
    }

    private ObjectNode greeting() {
        ObjectNode o = Json.object().put("node", settings.node()).put("served", node.served());
        Leader leader = node.actingLeader();
        if (leader != null) {
            o.put("term", leader.cluster().term());
            ObjectNode jobs = o.putObject("jobs");
            leader.cluster().jobs().forEach(job -> {
                int running = job.running();
                int done = job.doneTasks().cardinality();
                if (running + done > 0) {
                    jobs.putArray(job.spec().id()).add(done).add(running);
                }
            });
        }
        return o;
    }

    private void heard(JsonNode hello) {
        String from = Json.text(hello, "node");
        if (from != null && Json.flag(hello, "served")) {
            servedAt.put(from, loop.now());
        }
        long term = Json.count(hello, "term", -1);
        if (term >= progressTerm && hello.path("jobs").isObject()) {
            progressTerm = term;
            Map<String, Progress> all = new HashMap<>();
            hello.get("jobs").fields().forEachRemaining(e -> all.put(e.getKey(),
                    new Progress(e.getValue().path(0).asInt(), e.getValue().path(1).asInt())));
            progress = all;
        }
    }

    /** Answers what is meant for the peer link; false when the path is not. */
    boolean handle(Request request, Reply reply) {
        if (!request.path().equals(HELLO)) {
            return false;
        }
        JsonNode hello = request.body() == null ? null : Json.parseCbor(request.body());
        if (!request.is("POST") || hello == null) {
            reply.error(400, "not a message of a peer");
            return true;
        }
        heard(hello);
        reply.send(200, CBOR, Json.cbor(Json.object().put("node", settings.node()).put("served", node.served())), 0);
        return true;
    }

    /** Whether some peer was served by the state service a moment ago. */
    boolean peerServed() {
        double since = loop.now() - 3 * periodS;
        return servedAt.values().stream().anyMatch(at -> at > since);
    }

    Progress progress(String job) {
        return progress.getOrDefault(job, Progress.NONE);
    }
}
