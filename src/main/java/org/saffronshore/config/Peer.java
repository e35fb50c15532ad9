package org.saffronshore.config;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.FieldReader;
import org.saffronshore.wire.InvalidFieldException;

/**
 * Another controller of the deployment.
 *
 * @param node the name of the controller
 * @param zone the zone of the controller; null if the settings file has none
 * @param address the address at which it serves other controllers
 */
public record Peer(String node, @Nullable String zone, Address address) {

  static List<Peer> parseAll(List<FieldReader> entries) throws InvalidFieldException {
    List<Peer> peers = new ArrayList<>();
    for (FieldReader entry : entries) {
      Address address = Address.parse(entry.path() + ".addr", entry.text("addr"));
      peers.add(new Peer(entry.text("node"), entry.textOrNull("area"), address));
    }
    return List.copyOf(peers);
  }
}
