package org.saffronshore.peer;

import java.util.Map;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.saffronshore.state.StateServiceMonitor;

/** Makes the messages of this process, each with the next sequence number. */
public final class PeerMessageFactory {
  private final String node;
  private final Supplier<String> incarnation;
  private final StateServiceMonitor stateService;
  private long lastSequence;

  /**
   * @param node the name of this controller
   * @param incarnation distinguishes this process from earlier ones of the same controller
   */
  public PeerMessageFactory(
      String node, Supplier<String> incarnation, StateServiceMonitor stateService) {
    this.node = node;
    this.incarnation = incarnation;
    this.stateService = stateService;
  }

  /** A message of a controller that neither leads nor wants to. */
  PeerMessage create() {
    return create(PeerMessage.NO_TERM, null);
  }

  /** A message of a candidate for that term, or of one that withdraws. */
  PeerMessage forCandidate(long term) {
    return create(term, null);
  }

  /** A message of the leader of a term. */
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
