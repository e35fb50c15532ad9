package org.saffronshore.config;

import org.saffronshore.wire.InvalidFieldException;

/** A TCP address. */
public record Address(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /**
   * Parses an address of the form host:port.
   *
   * @param field the path of the field, for the exception
   * @throws InvalidFieldException if the text does not have that form or the port is out of range
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
      // Reported below, with the same message as any other malformed address.
    }
    throw new InvalidFieldException(field, "must be host:port with a port from 0 to 65535");
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
