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
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;
import org.saffronshore.config.Address;

/**
 * An HTTP client that keeps idle connections for reuse. A connection carries one request at a time.
 * When a request times out, its connection is closed.
 */
@SuppressWarnings(
    "FutureReturnValueIgnored") // A failed write or close is seen as an inactive channel.
public final class HttpClient implements Client {
  /**
   * The maximum size of a response body in bytes. Watch responses of the state service have no size
   * limit of their own; this limit bounds the memory that a response takes.
   */
  private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

  /** The default time in seconds after which an idle connection is closed. */
  public static final double MAX_IDLE_S = 30;

  private final EventLoop loop;
  private final ConnectionLimit connections;
  private final ConnectionPool pool;
  private final Bootstrap bootstrap;

  /**
   * Creates a client without open connections.
   *
   * @param connections the limit on connections; when it is reached, the connection that has been
   *     idle for the longest time is closed to make room for a new one
   * @param maxIdleS the time in seconds after which an idle connection is closed
   */
  public HttpClient(
      EventLoop loop, IoEventLoopGroup group, ConnectionLimit connections, double maxIdleS) {
    this.loop = loop;
    this.connections = connections;
    this.pool = new ConnectionPool(loop, maxIdleS);
    this.bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new HttpClientCodec(), new HttpObjectAggregator(MAX_RESPONSE_BYTES));
                  }
                });
  }

  @Override
  public void send(
      Address peer,
      String method,
      String path,
      byte @Nullable [] body,
      double timeoutS,
      Response.Callback callback) {
    Exchange exchange =
        new Exchange(peer, newRequest(peer, method, path, body), timeoutS, callback);
    Channel idle = pool.acquire(peer);
    if (idle != null) {
      exchange.start(idle);
    } else if (connections.tryAcquire() || (pool.closeOldest() && connections.tryAcquire())) {
      connect(exchange);
    } else {
      loop.execute(exchange::fail);
    }
  }

  private void connect(Exchange exchange) {
    ChannelFuture connecting = bootstrap.connect(exchange.peer.host(), exchange.peer.port());
    exchange.connecting = connecting.channel();
    connecting.channel().closeFuture().addListener(closed -> connections.release());
    connecting.addListener(
        connected -> {
          if (connected.isSuccess() && !exchange.finished) {
            exchange.start(connecting.channel());
          } else {
            connecting.channel().close();
            exchange.fail();
          }
        });
  }

  private static FullHttpRequest newRequest(
      Address peer, String method, String path, byte @Nullable [] body) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(method),
            path,
            body == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
    request.headers().set(HttpHeaderNames.HOST, peer.toString());
    if (body != null) {
      request.headers().set(HttpHeaderNames.CONTENT_TYPE, Responder.CONTENT_TYPE_JSON);
      request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
    }
    return request;
  }

  /** A request and its response. An exchange finishes exactly once. */
  private final class Exchange extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final Address peer;
    private final FullHttpRequest request;
    private final Response.Callback callback;
    private final double deadline;
    private final EventLoop.Timer timeout;
    private @Nullable Channel connecting;
    private @Nullable Channel channel;
    private boolean finished;

    Exchange(Address peer, FullHttpRequest request, double timeoutS, Response.Callback callback) {
      this.peer = peer;
      this.request = request;
      this.callback = callback;
      this.deadline = loop.now() + timeoutS;
      this.timeout = loop.schedule(timeoutS, this::fail);
    }

    void start(Channel connection) {
      channel = connection;
      connection.pipeline().addLast(this);
      connection.writeAndFlush(request);
    }

    /**
     * Finishes the exchange without a response. A request that was written to a channel counts as
     * lost, because it is unknown whether the server receives it.
     */
    void fail() {
      finish(channel == null ? Response.NOT_SENT : Response.LOST, true);
    }

    private void finish(Response response, boolean close) {
      if (finished) {
        return;
      }
      finished = true;
      timeout.cancel();
      if (channel == null) {
        // A machine that has lost power never accepts or refuses the connection. The pending
        // attempt is closed so that it does not count towards the connection limit any longer.
        if (connecting != null) {
          connecting.close();
        }
      } else if (close) {
        channel.close();
      } else {
        channel.pipeline().remove(this);
        pool.release(peer, channel);
      }
      callback.onResponse(response);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      // After a pause of this process, the network is read before timers fire. A response that is
      // read after the deadline may have arrived long ago and must not be treated as current.
      if (response.decoderResult().isFailure() || loop.now() > deadline) {
        fail();
        return;
      }
      finish(
          new Response(response.status().code(), ByteBufUtil.getBytes(response.content())),
          !HttpUtil.isKeepAlive(response));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      fail();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      fail();
    }
  }
}
