package org.saffronshore.http;

import io.netty.bootstrap.Bootstrap;
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
import java.util.Map;
import org.saffronshore.config.Settings.Address;

/**
 * A client that keeps idle connections for reuse. A connection carries one request at a time; after a time-out it
 * is closed, and the request counts as lost.
 */
public final class HttpClient implements Client {
    /** Watches of the state service have no size limit; this bounds what a node takes into memory. */
    private static final int MOST_ANSWER = 16 * 1024 * 1024;

    private final Loop loop;
    private final int mostConnections;
    private final Bootstrap bootstrap;
    private final Map<Address, ArrayDeque<Channel>> idle = new HashMap<>();
    private int connections;

    public HttpClient(Loop loop, IoEventLoopGroup group, int mostConnections) {
        this.loop = loop;
        this.mostConnections = mostConnections;
        this.bootstrap = new Bootstrap().group(group).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST_ANSWER));
                    }
                });
    }

    @Override
    public void send(Address to, String method, String path, byte[] body, double timeoutS, Answer.Receiver receiver) {
        Exchange exchange = new Exchange(to, method, path, body, receiver);
        exchange.timer = loop.after(timeoutS, exchange::fail);
        ArrayDeque<Channel> waiting = idle.get(to);
        Channel kept = null;
        while (waiting != null && !waiting.isEmpty() && kept == null) {
            Channel candidate = waiting.pollLast();
            kept = candidate.isActive() ? candidate : null;
        }
        if (kept != null) {
            exchange.start(kept);
            return;
        }
        if (connections >= mostConnections) {
            loop.soon(exchange::fail);
            return;
        }
        connections++;
        bootstrap.connect(to.host(), to.port()).addListener((io.netty.channel.ChannelFuture f) -> {
            if (!f.isSuccess()) {
                connections--;
                exchange.fail();
                return;
            }
            f.channel().closeFuture().addListener(c -> connections--);
            if (exchange.over) {
                f.channel().close();
            } else {
                exchange.start(f.channel());
            }
        });
    }

    private final class Exchange extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Address to;
        private final String method;
        private final String path;
        private final byte[] body;
        private final Answer.Receiver receiver;
        private Loop.Timer timer;
        private Channel channel;
        private boolean over;

        Exchange(Address to, String method, String path, byte[] body, Answer.Receiver receiver) {
            this.to = to;
            this.method = method;
            this.path = path;
            this.body = body;
            this.receiver = receiver;
        }

        void start(Channel ch) {
            channel = ch;
            ch.pipeline().addLast(this);
            var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), path,
                    body == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
            request.headers().set(HttpHeaderNames.HOST, to.toString());
            if (body != null) {
                request.headers().set(HttpHeaderNames.CONTENT_TYPE, Reply.JSON);
                request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
            }
            ch.writeAndFlush(request);
        }

        /** Once the channel had the request, nobody can tell whether the other side will see it. */
        void fail() {
            finish(channel == null ? Answer.NOT_SENT : Answer.LOST, true);
        }

        private void finish(Answer answer, boolean close) {
            if (over) {
                return;
            }
            over = true;
            timer.cancel();
            if (channel != null) {
                if (close) {
                    channel.close();
                } else {
                    channel.pipeline().remove(this);
                    idle.computeIfAbsent(to, a -> new ArrayDeque<>()).addLast(channel);
                }
            }
            receiver.receive(answer);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (response.decoderResult().isFailure()) {
                fail();
                return;
            }
            finish(new Answer(response.status().code(), ByteBufUtil.getBytes(response.content())),
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
