package org.saffronshore.http;

import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The event loop of a running controller, on a single Netty thread. */
public final class NettyEventLoop implements EventLoop {
  private static final Logger LOG = LoggerFactory.getLogger(NettyEventLoop.class);
  private final IoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final io.netty.channel.EventLoop thread = group.next();

  /** Returns the group that consists of the event loop thread, for servers and clients. */
  public IoEventLoopGroup group() {
    return group;
  }

  @Override
  public double now() {
    return System.nanoTime() / 1e9;
  }

  @Override
  public Timer schedule(double delayS, Runnable action) {
    Runnable loggingFailures = () -> run(action);
    if (delayS <= 0) {
      thread.execute(loggingFailures);
      return () -> {};
    }
    var future = thread.schedule(loggingFailures, (long) (delayS * 1e9), TimeUnit.NANOSECONDS);
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
