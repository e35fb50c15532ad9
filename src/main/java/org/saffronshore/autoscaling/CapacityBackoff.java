package org.saffronshore.autoscaling;

import java.util.HashMap;
import java.util.Map;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.MachineKind;

/**
 * The kinds of machines that the cloud has refused to rent out. After each refusal a kind is not
 * requested for a while, which doubles up to its boot time.
 */
final class CapacityBackoff {
  /** The first backoff, as a share of the boot time. */
  private static final double INITIAL_BACKOFF_BOOT_SHARE = 1.0 / 8;

  private static final class Refusal {
    double backoffUntil;
    double backoffS;
  }

  private final EventLoop loop;
  private final BootTimes bootTimes;
  private final Map<MachineKind, Refusal> refusals = new HashMap<>();

  CapacityBackoff(EventLoop loop, BootTimes bootTimes) {
    this.loop = loop;
    this.bootTimes = bootTimes;
  }

  /** Whether the kind may be requested at a time of the event loop's clock. */
  boolean mayRequest(MachineKind kind, double now) {
    Refusal refusal = refusals.get(kind);
    return refusal == null || now >= refusal.backoffUntil;
  }

  /** Whether the last response for this kind was a refusal, however long ago. */
  boolean wasRefused(MachineKind kind) {
    return refusals.containsKey(kind);
  }

  /** The cloud has fewer machines of this kind than were requested. */
  void onRefused(MachineKind kind) {
    double bootS = bootTimes.ofTypeS(kind.type());
    Refusal refusal = refusals.computeIfAbsent(kind, key -> new Refusal());
    refusal.backoffS =
        Math.min(bootS, Math.max(bootS * INITIAL_BACKOFF_BOOT_SHARE, refusal.backoffS * 2));
    refusal.backoffUntil = loop.now() + refusal.backoffS;
  }

  /**
   * The cloud has machines of this kind: it rented out all that were requested, or got one back.
   */
  void onAvailable(MachineKind kind) {
    refusals.remove(kind);
  }
}
