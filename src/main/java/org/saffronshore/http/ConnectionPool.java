package org.saffronshore.http;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.saffronshore.config.Address;

/**
 * The idle connections of a client, kept for reuse. A connection that stays idle for too long is
 * closed: machines are replaced often, and a machine that has been removed does not close its
 * connections.
 */
@SuppressWarnings(
    "FutureReturnValueIgnored") // The result of closing an idle connection is not used.
final class ConnectionPool {
  private static final class IdleConnection {
    private final Address peer;
    private final Channel channel;
    private EventLoop.@Nullable Timer expiry;

    IdleConnection(Address peer, Channel channel) {
      this.peer = peer;
      this.channel = channel;
    }
  }

  private final EventLoop loop;
  private final double maxIdleS;
  private final Map<Address, ArrayDeque<IdleConnection>> byPeer = new HashMap<>();

  /** All idle connections, the one that has been idle for the longest time first. */
  private final Set<IdleConnection> oldestFirst = new LinkedHashSet<>();

  /**
   * Creates an empty pool.
   *
   * @param maxIdleS the time in seconds after which an idle connection is closed
   */
  ConnectionPool(EventLoop loop, double maxIdleS) {
    this.loop = loop;
    this.maxIdleS = maxIdleS;
  }

  /**
   * Removes and returns the most recently used open connection to a peer, or null if there is none.
   */
  @Nullable Channel acquire(Address peer) {
    ArrayDeque<IdleConnection> connections = byPeer.get(peer);
    while (connections != null && !connections.isEmpty()) {
      IdleConnection latest = connections.peekLast();
      remove(latest);
      if (latest.channel.isActive()) {
        return latest.channel;
      }
    }
    return null;
  }

  /** Adds a connection whose exchange has ended. */
  void release(Address peer, Channel channel) {
    IdleConnection connection = new IdleConnection(peer, channel);
    connection.expiry = loop.schedule(maxIdleS, () -> close(connection));
    byPeer.computeIfAbsent(peer, key -> new ArrayDeque<>(2)).addLast(connection);
    oldestFirst.add(connection);
  }

  /**
   * Closes the connection that has been idle for the longest time, so that a new request can use
   * its place within the connection limit. Returns false if there is no idle connection.
   */
  boolean closeOldest() {
    if (oldestFirst.isEmpty()) {
      return false;
    }
    close(oldestFirst.iterator().next());
    return true;
  }

  private void close(IdleConnection connection) {
    remove(connection);
    connection.channel.close();
  }

  private void remove(IdleConnection connection) {
    if (connection.expiry != null) {
      connection.expiry.cancel();
    }
    oldestFirst.remove(connection);
    ArrayDeque<IdleConnection> connections = byPeer.get(connection.peer);
    if (connections != null && connections.remove(connection) && connections.isEmpty()) {
      byPeer.remove(connection.peer);
    }
  }
}
