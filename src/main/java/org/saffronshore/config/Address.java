package org.saffronshore.config;

import org.saffronshore.wire.InvalidFieldException;

/** A TCP address. */
public record Address(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /**
   * Reads an address of the form host:port.
   *
   * @param field names the field in the failure
   */
  public static Address parse(String field, String text) throws InvalidFieldException {
    int colon = text.lastIndexOf(':');
    try {
      if (colon > 0) {
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port >= 0 && port <= MAX_PORT) {
          return new Address(text.substring(0, colon), port);
        }
      }
    } catch (NumberFormatException e) {
      // Falls through to the one message for every ill-formed address.
    }
    throw new InvalidFieldException(field, "must be an address such as 10.0.0.1:8080");
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
