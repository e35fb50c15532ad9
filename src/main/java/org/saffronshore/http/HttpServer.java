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
import org.saffronshore.config.Address;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves HTTP/1.1 on one address. Connections stay open between requests. */
@SuppressWarnings(
    "FutureReturnValueIgnored") // A failed write or close shows as the end of the channel.
public final class HttpServer {
  /** The longest body that the protocol lets anyone send. */
  public static final int MAX_BODY = 64 * 1024;

  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
  private final BiConsumer<Request, Responder> handler;
  private final ConnectionLimit sockets;
  private Channel channel;

  public HttpServer(BiConsumer<Request, Responder> handler, ConnectionLimit sockets) {
    this.handler = handler;
    this.sockets = sockets;
  }

  /** Listens on an address. */
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
                  protected void initChannel(SocketChannel ch) {
                    accept(ch);
                  }
                })
            .bind(new InetSocketAddress(address.host(), address.port()))
            .sync()
            .channel();
  }

  public int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  private void accept(SocketChannel ch) {
    // Past the limit a refusal must be quick: a connection that is never read would look healthy.
    if (!sockets.tryAcquire()) {
      ch.close();
      return;
    }
    ch.closeFuture().addListener(f -> sockets.release());
    ch.pipeline().addLast(new HttpServerCodec(), new Aggregator(), new Requests());
  }

  /**
   * Answers an over-long body with 400: to the users of this protocol 413 would mean "try again".
   */
  private static final class Aggregator extends HttpObjectAggregator {
    Aggregator() {
      super(MAX_BODY);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage message) {
      String uri = message instanceof HttpRequest r ? r.uri() : "?";
      LOG.info("refused a request to {}: its body is longer than {} bytes", uri, MAX_BODY);
      write(
          ctx,
          true,
          400,
          Responder.CONTENT_TYPE_JSON,
          "{\"error\":\"the body is too long\"}".getBytes(UTF_8),
          0);
    }
  }

  private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
      String uri = message.uri();
      int query = uri.indexOf('?');
      Request request =
          new Request(
              message.method().name(),
              query < 0 ? uri : uri.substring(0, query),
              ByteBufUtil.getBytes(message.content()));
      boolean close = !HttpUtil.isKeepAlive(message);
      Responder reply =
          new Responder() {
            private boolean sent;

            @Override
            public void send(int status, String type, byte[] body, int retryAfterS) {
              if (!sent) {
                sent = true;
                // There may be more workers than sockets. Told so with the answer, they come back
                // for the next
                // report; refused at the door, they would take this node for dead and try another
                // one.
                write(ctx, close || sockets.isNearlyExhausted(), status, type, body, retryAfterS);
              }
            }

            @Override
            public boolean isConnected() {
              return ctx.channel().isActive();
            }
          };
      if (message.decoderResult().isFailure()) {
        reply.error(400, "not an HTTP request");
        return;
      }
      try {
        handler.accept(request, reply);
      } catch (RuntimeException e) {
        LOG.error("{} {} failed", request.method(), request.path(), e);
        reply.retryLater(503, "internal error", 1);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  private static void write(
      ChannelHandlerContext ctx,
      boolean close,
      int status,
      String type,
      byte[] body,
      int retryAfterS) {
    if (!ctx.channel().isActive()) {
      return;
    }
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
    if (retryAfterS > 0) {
      response.headers().setInt(HttpHeaderNames.RETRY_AFTER, retryAfterS);
    }
    if (close) {
      response.headers().set(HttpHeaderNames.CONNECTION, "close");
    }
    var written = ctx.writeAndFlush(response);
    if (close) {
      written.addListener(f -> ctx.close());
    }
  }
}
