package org.saffronshore.wire;

/**
 * A request to the cloud for new machines.
 *
 * @param name identifies the request: the cloud answers a repetition as it answered the first
 * @param count how many machines to rent
 */
public record RentalRequest(String name, MachineKind kind, int count) {

  /** The body of the request. */
  public byte[] toBytes() {
    return Json.bytes(
        Json.object()
            .put("Hire", name)
            .put("Rig", kind.type())
            .put("Depot", kind.zone())
            .put("Loaner", kind.spot())
            .put("Count", count));
  }

  /** The request as fields of a log line. */
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
