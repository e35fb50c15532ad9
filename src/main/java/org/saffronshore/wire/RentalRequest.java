package org.saffronshore.wire;

/**
 * A request to the cloud for new machines.
 *
 * @param name the idempotency key: the cloud answers a repeated request as it answered the first
 * @param count the number of machines to rent
 */
public record RentalRequest(String name, MachineKind kind, int count) {

  /** Returns the body of the request. */
  public byte[] toBytes() {
    return Json.bytes(
        Json.object()
            .put("Hire", name)
            .put("Rig", kind.type())
            .put("Depot", kind.zone())
            .put("Loaner", kind.spot())
            .put("Count", count));
  }

  /** Returns the request as {@code key=value} fields of a log line. */
  @Override
  public String toString() {
    return "order="
        + name
        + " type="
        + kind.type()
        + " zone="
        + kind.zone()
        + " spot="
        + kind.spot()
        + " requested="
        + count;
  }
}
