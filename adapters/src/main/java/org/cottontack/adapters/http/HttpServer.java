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
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.Address;

/** An HTTP/1.1 server that passes each complete request to a handler. */
public final class HttpServer implements AutoCloseable {

  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final int IDLE_SECONDS = 120;
  private static final int BACKLOG = 1_024;

  private final Channel channel;
  private final OpenCalls openCalls;

  private HttpServer(Channel channel, OpenCalls openCalls) {
    this.channel = channel;
    this.openCalls = openCalls;
  }

  /** Counts the unanswered requests of a server and records whether it is closing. */
  static final class OpenCalls {
    private final AtomicInteger count = new AtomicInteger();
    private volatile boolean closing;

    void started() {
      count.incrementAndGet();
    }

    void finished() {
      count.decrementAndGet();
    }

    boolean closing() {
      return closing;
    }
  }

  /**
   * Starts a server.
   *
   * @param group event loops; the handler runs on them and must not block
   * @param address the address to listen on
   * @param handler receives each complete request
   * @throws AdapterException with {@link AdapterException.Code#CANNOT_LISTEN} if the address is in
   *     use or does not belong to this machine
   */
  public static HttpServer listen(
      EventLoopGroup group, Address address, Consumer<HttpCall> handler) {
    OpenCalls openCalls = new OpenCalls();
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new Pipeline(handler, openCalls));
    var bound = bootstrap.bind(address.socket()).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new AdapterException(
          AdapterException.Code.CANNOT_LISTEN,
          "cannot listen on " + address + ": " + bound.cause().getMessage(),
          bound.cause());
    }
    return new HttpServer(bound.channel(), openCalls);
  }

  /** Returns the address that this server listens on. */
  public Address address() {
    InetSocketAddress local = (InetSocketAddress) channel.localAddress();
    return new Address(local.getAddress().getHostAddress(), local.getPort());
  }

  /**
   * Closes each connection after the next response on it. Otherwise callers would use their
   * connections until the process ends and lose the responses to their last requests.
   */
  public void drain() {
    openCalls.closing = true;
  }

  /** Returns the number of requests that have not been answered yet. */
  public int unanswered() {
    return openCalls.count.get();
  }

  @Override
  public void close() {
    channel.close().awaitUninterruptibly();
  }

  private static final class Pipeline extends ChannelInitializer<SocketChannel> {

    private final Consumer<HttpCall> handler;
    private final OpenCalls openCalls;

    Pipeline(Consumer<HttpCall> handler, OpenCalls openCalls) {
      this.handler = handler;
      this.openCalls = openCalls;
    }

    @Override
    protected void initChannel(SocketChannel child) {
      ChannelPipeline pipeline = child.pipeline();
      pipeline.addLast(new IdleStateHandler(0, 0, IDLE_SECONDS));
      pipeline.addLast(new HttpServerCodec());
      pipeline.addLast(new HttpObjectAggregator(MAX_BODY_BYTES));
      pipeline.addLast(new CallHandler(handler, openCalls));
    }
  }

  private static final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final String MALFORMED =
        "{\"code\":\"bad_request\",\"ran\":\"not_run\","
            + "\"message\":\"this is not an HTTP/1.1 request\"}";

    private final Consumer<HttpCall> handler;
    private final OpenCalls openCalls;

    CallHandler(Consumer<HttpCall> handler, OpenCalls openCalls) {
      this.handler = handler;
      this.openCalls = openCalls;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      HttpCall call = new HttpCall(context, request, openCalls);
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
