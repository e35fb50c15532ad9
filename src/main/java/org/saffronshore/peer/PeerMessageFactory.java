package org.saffronshore.peer;

import java.util.Map;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.saffronshore.state.StateServiceMonitor;

/** Creates the messages of this process, each with the next sequence number. */
public final class PeerMessageFactory {
  private final String node;
  private final Supplier<String> incarnation;
  private final StateServiceMonitor stateService;
  private long lastSequence;

  /**
   * Creates a factory whose first message has the sequence number 1.
   *
   * @param node the node name of this controller
   * @param incarnation distinguishes this process from earlier ones of the same controller
   */
  public PeerMessageFactory(
      String node, Supplier<String> incarnation, StateServiceMonitor stateService) {
    this.node = node;
    this.incarnation = incarnation;
    this.stateService = stateService;
  }

  /** Creates a message that is not about a term. */
  PeerMessage create() {
    return create(PeerMessage.NO_TERM, null);
  }

  /** Creates a message of a candidate for a term, or of a process that withdraws from it. */
  PeerMessage forCandidate(long term) {
    return create(term, null);
  }

  /** Creates a heartbeat of the leader of a term. */
  PeerMessage forLeader(TermProgress progress) {
    return create(progress.term(), progress.jobs());
  }

  private PeerMessage create(long term, @Nullable Map<String, JobProgress> jobProgress) {
    return new PeerMessage(
        node,
        incarnation.get(),
        ++lastSequence,
        stateService.isAvailable(),
        stateService.lastResponseAgeS(),
        term,
        jobProgress);
  }
}
