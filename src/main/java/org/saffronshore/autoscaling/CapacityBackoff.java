package org.saffronshore.autoscaling;

import java.util.HashMap;
import java.util.Map;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.MachineKind;

/**
 * Tracks the machine kinds that the cloud has refused to rent out. After a refusal the kind is not
 * requested for a backoff period, which doubles with each further refusal up to the boot time of
 * the machine type.
 */
final class CapacityBackoff {
  /** The backoff after the first refusal, as a share of the boot time. */
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

  /**
   * Returns whether machines of the kind may be requested.
   *
   * @param now the time on the event loop's clock
   */
  boolean mayRequest(MachineKind kind, double now) {
    Refusal refusal = refusals.get(kind);
    return refusal == null || now >= refusal.backoffUntil;
  }

  /**
   * Returns whether the cloud's last response for this kind was a refusal, regardless of whether
   * the backoff has elapsed.
   */
  boolean wasRefused(MachineKind kind) {
    return refusals.containsKey(kind);
  }

  /**
   * Called when the cloud has refused a request for machines of this kind or rented out fewer than
   * requested. Starts the next backoff.
   */
  void onRefused(MachineKind kind) {
    double bootS = bootTimes.ofTypeS(kind.type());
    Refusal refusal = refusals.computeIfAbsent(kind, key -> new Refusal());
    refusal.backoffS =
        Math.min(bootS, Math.max(bootS * INITIAL_BACKOFF_BOOT_SHARE, refusal.backoffS * 2));
    refusal.backoffUntil = loop.now() + refusal.backoffS;
  }

  /**
   * Called when the cloud has machines of this kind again: it has rented out all that were
   * requested, or a machine of this kind has been returned. Ends the backoff and resets its
   * duration.
   */
  void onAvailable(MachineKind kind) {
    refusals.remove(kind);
  }
}
