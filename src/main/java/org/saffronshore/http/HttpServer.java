package org.saffronshore.http;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;
import org.saffronshore.config.Address;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An HTTP/1.1 server on one address. Connections stay open between requests unless the connection
 * limit is nearly reached.
 */
@SuppressWarnings(
    "FutureReturnValueIgnored") // A failed write or close is seen as an inactive channel.
public final class HttpServer {
  /** The maximum size of a request body in the protocol, in bytes. */
  public static final int MAX_BODY_BYTES = 64 * 1024;

  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
  private final BiConsumer<Request, Responder> handler;
  private final ConnectionLimit connections;
  private @Nullable Channel channel;

  /**
   * Creates a server that does not listen yet.
   *
   * @param handler handles each request on the event loop
   * @param connections the limit on connections; connections beyond it are closed when they are
   *     accepted
   */
  public HttpServer(BiConsumer<Request, Responder> handler, ConnectionLimit connections) {
    this.handler = handler;
    this.connections = connections;
  }

  /** Starts to listen on an address. */
  public void start(IoEventLoopGroup group, Address address) throws InterruptedException {
    channel =
        new ServerBootstrap()
            .group(group, group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel connection) {
                    accept(connection);
                  }
                })
            .bind(new InetSocketAddress(address.host(), address.port()))
            .sync()
            .channel();
  }

  /**
   * Returns the port that the server listens on. The operating system chooses the port if the
   * address has port 0.
   */
  public int port() {
    if (channel == null) {
      throw new IllegalStateException(
          "port() called before start(): the server does not listen yet");
    }
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  private void accept(SocketChannel connection) {
    // A connection beyond the limit is closed immediately: clients would take a connection that is
    // open but never read for a healthy one.
    if (!connections.tryAcquire()) {
      connection.close();
      return;
    }
    connection.closeFuture().addListener(closed -> connections.release());
    connection
        .pipeline()
        .addLast(new HttpServerCodec(), new BodyAggregator(), new RequestHandler());
  }

  /**
   * Aggregates request bodies, and answers a body above the size limit with 400. Clients of this
   * protocol retry requests that are answered with 413.
   */
  private static final class BodyAggregator extends HttpObjectAggregator {
    BodyAggregator() {
      super(MAX_BODY_BYTES);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage message) {
      String uri = message instanceof HttpRequest r ? r.uri() : "?";
      LOG.info(
          "Refusing request, body above the size limit: path={} limit_bytes={}",
          uri,
          MAX_BODY_BYTES);
      write(
          context,
          true,
          400,
          Responder.CONTENT_TYPE_JSON,
          ("{\"error\":\"request body too large: expected at most " + MAX_BODY_BYTES + " bytes\"}")
              .getBytes(UTF_8),
          0);
    }
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
      String uri = message.uri();
      int query = uri.indexOf('?');
      Request request =
          new Request(
              message.method().name(),
              query < 0 ? uri : uri.substring(0, query),
              ByteBufUtil.getBytes(message.content()));
      boolean close = !HttpUtil.isKeepAlive(message);
      Responder responder =
          new Responder() {
            private boolean sent;

            @Override
            public void send(int status, String contentType, byte[] body, int retryAfterS) {
              if (!sent) {
                sent = true;
                // There may be more workers than connections. A worker whose connection is closed
                // after the response connects again for its next heartbeat. A worker that cannot
                // connect assumes that this controller has failed and tries another one.
                write(
                    context,
                    close || connections.isNearlyExhausted(),
                    status,
                    contentType,
                    body,
                    retryAfterS);
              }
            }

            @Override
            public boolean isConnected() {
              return context.channel().isActive();
            }
          };
      if (message.decoderResult().isFailure()) {
        responder.error(
            400,
            "malformed HTTP request: request line, headers or body encoding invalid or too long");
        return;
      }
      try {
        handler.accept(request, responder);
      } catch (RuntimeException e) {
        LOG.error("Request failed: method={} path={}", request.method(), request.path(), e);
        responder.retryLater(503, "internal error while handling the request; retry later", 1);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  private static void write(
      ChannelHandlerContext context,
      boolean close,
      int status,
      String contentType,
      byte[] body,
      int retryAfterS) {
    if (!context.channel().isActive()) {
      return;
    }
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
    if (retryAfterS > 0) {
      response.headers().setInt(HttpHeaderNames.RETRY_AFTER, retryAfterS);
    }
    if (close) {
      response.headers().set(HttpHeaderNames.CONNECTION, "close");
    }
    var written = context.writeAndFlush(response);
    if (close) {
      written.addListener(sent -> context.close());
    }
  }
}
