package org.saffronshore.http;

import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The event loop of a running controller: one thread of Netty. */
public final class NettyEventLoop implements EventLoop {
  private static final Logger LOG = LoggerFactory.getLogger(NettyEventLoop.class);
  private final IoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final io.netty.channel.EventLoop thread = group.next();

  /** The same thread, for servers and clients. */
  public IoEventLoopGroup group() {
    return group;
  }

  @Override
  public double now() {
    return System.nanoTime() / 1e9;
  }

  @Override
  public Timer schedule(double seconds, Runnable action) {
    Runnable guarded = () -> run(action);
    if (seconds <= 0) {
      thread.execute(guarded);
      return () -> {};
    }
    var future = thread.schedule(guarded, (long) (seconds * 1e9), TimeUnit.NANOSECONDS);
    return () -> future.cancel(false);
  }

  private static void run(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      LOG.error("Action failed on the event loop", e);
    }
  }
}
