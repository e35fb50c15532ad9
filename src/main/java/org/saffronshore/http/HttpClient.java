package org.saffronshore.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.saffronshore.config.Address;

/**
 * A client that keeps idle connections for reuse. A connection carries one request at a time; after
 * a time-out it is closed, and the request counts as lost.
 */
@SuppressWarnings(
    "FutureReturnValueIgnored") // A failed write or close shows as the end of the channel.
public final class HttpClient implements Client {
  /** Watches of the state service have no size limit; this bounds what a node takes into memory. */
  private static final int MAX_ANSWER = 16 * 1024 * 1024;

  /**
   * Idle connections are closed after this time: machines come and go, and one that is gone closes
   * nothing.
   */
  public static final double IDLE_S = 30;

  private record Kept(Address to, Channel channel, EventLoop.Timer timer) {}

  private final EventLoop loop;
  private final ConnectionLimit sockets;
  private final double idleS;
  private final Bootstrap bootstrap;
  private final Map<Address, ArrayDeque<Kept>> idle = new HashMap<>();

  /** All of them, the one that has been idle for longest first. */
  private final Set<Kept> oldest = new LinkedHashSet<>();

  /**
   * @param idleS for how long an idle connection is kept
   */
  public HttpClient(EventLoop loop, IoEventLoopGroup group, ConnectionLimit sockets, double idleS) {
    this.loop = loop;
    this.idleS = idleS;
    this.sockets = sockets;
    this.bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    ch.pipeline()
                        .addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_ANSWER));
                  }
                });
  }

  @Override
  public void send(
      Address to,
      String method,
      String path,
      byte[] body,
      double timeoutS,
      Response.Callback receiver) {
    Exchange exchange = new Exchange(to, method, path, body, timeoutS, receiver);
    Channel kept = reuse(to);
    if (kept != null) {
      exchange.start(kept);
      return;
    }
    if (!sockets.tryAcquire() && !(closeOldest() && sockets.tryAcquire())) {
      loop.execute(exchange::fail);
      return;
    }
    ChannelFuture connecting = bootstrap.connect(to.host(), to.port());
    exchange.connecting = connecting.channel();
    connecting.channel().closeFuture().addListener(c -> sockets.release());
    connecting.addListener(
        f -> {
          if (f.isSuccess() && !exchange.over) {
            exchange.start(connecting.channel());
          } else {
            connecting.channel().close();
            exchange.fail();
          }
        });
  }

  private Channel reuse(Address to) {
    ArrayDeque<Kept> waiting = idle.get(to);
    while (waiting != null && !waiting.isEmpty()) {
      Kept last = waiting.peekLast();
      forget(last);
      if (last.channel.isActive()) {
        return last.channel;
      }
    }
    return null;
  }

  private void keep(Address to, Channel channel) {
    Kept[] kept = new Kept[1];
    kept[0] = new Kept(to, channel, loop.schedule(idleS, () -> close(kept[0])));
    idle.computeIfAbsent(to, a -> new ArrayDeque<>(2)).addLast(kept[0]);
    oldest.add(kept[0]);
  }

  private void forget(Kept kept) {
    kept.timer.cancel();
    oldest.remove(kept);
    ArrayDeque<Kept> waiting = idle.get(kept.to);
    if (waiting != null && waiting.remove(kept) && waiting.isEmpty()) {
      idle.remove(kept.to);
    }
  }

  private void close(Kept kept) {
    forget(kept);
    kept.channel.close();
  }

  /**
   * With many machines, connections that are kept for later must not stand in the way of what is
   * due now.
   */
  private boolean closeOldest() {
    if (oldest.isEmpty()) {
      return false;
    }
    close(oldest.iterator().next());
    return true;
  }

  private final class Exchange extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final Address to;
    private final String method;
    private final String path;
    private final byte[] body;
    private final Response.Callback receiver;
    private final double until;
    private final EventLoop.Timer timer;
    private Channel connecting;
    private Channel channel;
    private boolean over;

    Exchange(
        Address to,
        String method,
        String path,
        byte[] body,
        double timeoutS,
        Response.Callback receiver) {
      this.to = to;
      this.method = method;
      this.path = path;
      this.body = body;
      this.receiver = receiver;
      this.until = loop.now() + timeoutS;
      this.timer = loop.schedule(timeoutS, this::fail);
    }

    void start(Channel ch) {
      channel = ch;
      ch.pipeline().addLast(this);
      var request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.valueOf(method),
              path,
              body == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
      request.headers().set(HttpHeaderNames.HOST, to.toString());
      if (body != null) {
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, Responder.CONTENT_TYPE_JSON);
        request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
      }
      ch.writeAndFlush(request);
    }

    /** Once the channel had the request, nobody can tell whether the other side will see it. */
    void fail() {
      finish(channel == null ? Response.NOT_SENT : Response.LOST, true);
    }

    private void finish(Response answer, boolean close) {
      if (over) {
        return;
      }
      over = true;
      timer.cancel();
      if (channel == null) {
        // A machine without power never answers; the attempt to reach it must not hold its socket
        // for longer.
        if (connecting != null) {
          connecting.close();
        }
      } else if (close) {
        channel.close();
      } else {
        channel.pipeline().remove(this);
        keep(to, channel);
      }
      receiver.onResponse(answer);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      // After a standstill of this process the network is read before timers fire: what was
      // answered long ago
      // must not be taken for news.
      if (response.decoderResult().isFailure() || loop.now() > until) {
        fail();
        return;
      }
      finish(
          new Response(response.status().code(), ByteBufUtil.getBytes(response.content())),
          !HttpUtil.isKeepAlive(response));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      fail();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      fail();
    }
  }
}
