package org.cottontack.adapters.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.Address;

/** Listens for HTTP/1.1 and hands each whole request to a handler. */
public final class HttpServer implements AutoCloseable {

  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final int IDLE_SECONDS = 120;
  private static final int BACKLOG = 1_024;

  private final Channel channel;

  private HttpServer(Channel channel) {
    this.channel = channel;
  }

  /**
   * Starts to listen.
   *
   * @param group event loops; the handler runs on them and must not block
   * @param address where to listen
   * @param handler gets each whole request
   * @throws AdapterException with {@link AdapterException.Code#CANNOT_LISTEN} when the address is
   *     taken or not ours
   */
  public static HttpServer listen(
      EventLoopGroup group, Address address, Consumer<HttpCall> handler) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new Pipeline(handler));
    var bound = bootstrap.bind(address.socket()).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new AdapterException(
          AdapterException.Code.CANNOT_LISTEN,
          "cannot listen on " + address + ": " + bound.cause().getMessage(),
          bound.cause());
    }
    return new HttpServer(bound.channel());
  }

  /** Returns the address it listens on. */
  public Address address() {
    InetSocketAddress local = (InetSocketAddress) channel.localAddress();
    return new Address(local.getAddress().getHostAddress(), local.getPort());
  }

  @Override
  public void close() {
    channel.close().awaitUninterruptibly();
  }

  private static final class Pipeline extends ChannelInitializer<SocketChannel> {

    private final Consumer<HttpCall> handler;

    Pipeline(Consumer<HttpCall> handler) {
      this.handler = handler;
    }

    @Override
    protected void initChannel(SocketChannel child) {
      ChannelPipeline pipeline = child.pipeline();
      pipeline.addLast(new IdleStateHandler(0, 0, IDLE_SECONDS));
      pipeline.addLast(new HttpServerCodec());
      pipeline.addLast(new HttpObjectAggregator(MAX_BODY_BYTES));
      pipeline.addLast(new Calls(handler));
    }
  }

  private static final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final String MALFORMED =
        "{\"code\":\"bad_request\",\"ran\":\"not_run\","
            + "\"message\":\"this is not an HTTP/1.1 request\"}";

    private final Consumer<HttpCall> handler;

    Calls(Consumer<HttpCall> handler) {
      this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      HttpCall call = new HttpCall(context, request);
      if (request.decoderResult().isFailure()) {
        call.json(400, MALFORMED);
        context.close();
        return;
      }
      handler.accept(call);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      context.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
