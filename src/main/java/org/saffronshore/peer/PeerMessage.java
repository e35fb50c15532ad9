package org.saffronshore.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;

/**
 * A message between controllers: a heartbeat, a request for a vote or a withdrawal. A {@link
 * PeerResponse} contains the same fields.
 *
 * @param node the sender's node name; null only in a response that lacks it
 * @param incarnation distinguishes the sending process from earlier ones of the same controller;
 *     null only in a response that lacks it
 * @param sequence increases with every message of a process, so that the receiver can detect
 *     duplicate and late messages
 * @param stateServiceAvailable whether the state service responds to the sender
 * @param stateServiceAvailableAgoS how long ago the state service last responded to the sender, in
 *     seconds
 * @param term the term that the sender leads, is a candidate for or withdraws from, or {@link
 *     #NO_TERM}
 * @param jobProgress the progress of jobs by id, from a leader only; null otherwise
 */
public record PeerMessage(
    @Nullable String node,
    @Nullable String incarnation,
    long sequence,
    boolean stateServiceAvailable,
    double stateServiceAvailableAgoS,
    long term,
    @Nullable Map<String, JobProgress> jobProgress) {

  /** The term in a message that concerns no term, such as a heartbeat of a follower. */
  public static final long NO_TERM = -1;

  /** The value that is sent for all longer durations, since infinity cannot be sent. */
  private static final double MAX_AGO_S = 1e9;

  /**
   * Reads a message.
   *
   * @throws InvalidFieldException if the body is not an object in CBOR, or does not name the
   *     sender's node and process
   */
  public static PeerMessage parse(byte @Nullable [] body) throws InvalidFieldException {
    JsonNode message = body == null ? null : Json.parseCbor(body);
    if (message == null || !message.isObject()) {
      throw new InvalidFieldException("body", "must be an object in CBOR");
    }
    PeerMessage parsed = parse(message);
    if (parsed.node == null) {
      throw new InvalidFieldException("node", "is missing or not a text");
    }
    if (parsed.incarnation == null) {
      throw new InvalidFieldException("life", "is missing or not a text");
    }
    return parsed;
  }

  /** Reads the fields that messages and responses share. */
  static PeerMessage parse(JsonNode message) {
    return new PeerMessage(
        Json.text(message, "node"),
        Json.text(message, "life"),
        Json.integer(message, "n", 0),
        Json.bool(message, "served"),
        Json.number(message, "served_s", Double.POSITIVE_INFINITY),
        Json.integer(message, "term", NO_TERM),
        jobProgress(message.path("jobs")));
  }

  private static @Nullable Map<String, JobProgress> jobProgress(JsonNode jobs) {
    if (!jobs.isObject()) {
      return null;
    }
    Map<String, JobProgress> progress = new HashMap<>();
    for (Map.Entry<String, JsonNode> job : jobs.properties()) {
      JsonNode counts = job.getValue();
      progress.put(job.getKey(), new JobProgress(counts.path(0).asInt(), counts.path(1).asInt()));
    }
    return progress;
  }

  /** Returns the sender's node name. Only for a message read by {@link #parse(byte[])}. */
  String senderNode() {
    return Objects.requireNonNull(node);
  }

  /** Returns the sender's incarnation. Only for a message read by {@link #parse(byte[])}. */
  String senderIncarnation() {
    return Objects.requireNonNull(incarnation);
  }

  /** Returns the message in the form in which it is sent. */
  public byte[] toCbor() {
    return Json.cbor(toTree());
  }

  /** Returns the fields of the message, to which a response adds its own. */
  ObjectNode toTree() {
    ObjectNode tree =
        Json.object()
            .put("node", node)
            .put("life", incarnation)
            .put("n", sequence)
            .put("served", stateServiceAvailable)
            .put("served_s", Math.min(MAX_AGO_S, stateServiceAvailableAgoS));
    if (term != NO_TERM) {
      tree.put("term", term);
    }
    if (jobProgress != null) {
      ObjectNode jobs = tree.putObject("jobs");
      jobProgress.forEach(
          (job, progress) -> jobs.putArray(job).add(progress.done()).add(progress.running()));
    }
    return tree;
  }
}
