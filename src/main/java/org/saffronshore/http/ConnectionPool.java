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
 * Idle connections of a client, kept for reuse. One that stays idle for too long is closed:
 * machines come and go, and one that is gone closes nothing.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Nobody waits for an idle connection to close.
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

  /** The connection that has been idle for longest comes first. */
  private final Set<IdleConnection> oldestFirst = new LinkedHashSet<>();

  /**
   * Starts without connections.
   *
   * @param maxIdleS how long an idle connection is kept, in seconds
   */
  ConnectionPool(EventLoop loop, double maxIdleS) {
    this.loop = loop;
    this.maxIdleS = maxIdleS;
  }

  /** Takes a connection to a peer that is still open, the most recently used first. */
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

  /** Keeps a connection that carries no request any more. */
  void release(Address peer, Channel channel) {
    IdleConnection connection = new IdleConnection(peer, channel);
    connection.expiry = loop.schedule(maxIdleS, () -> close(connection));
    byPeer.computeIfAbsent(peer, key -> new ArrayDeque<>(2)).addLast(connection);
    oldestFirst.add(connection);
  }

  /**
   * Closes the connection that has been idle for longest, so that it does not stand in the way of a
   * request that is due now; false when there is none.
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
