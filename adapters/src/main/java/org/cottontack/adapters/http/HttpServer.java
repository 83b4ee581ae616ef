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

/** Listens for HTTP/1.1 and hands each whole request to a handler. */
public final class HttpServer implements AutoCloseable {

  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final int IDLE_SECONDS = 120;
  private static final int BACKLOG = 1_024;

  private final Channel channel;
  private final Open open;

  private HttpServer(Channel channel, Open open) {
    this.channel = channel;
    this.open = open;
  }

  /** What is open at a server. */
  static final class Open {
    private final AtomicInteger calls = new AtomicInteger();
    private volatile boolean closing;

    void began() {
      calls.incrementAndGet();
    }

    void ended() {
      calls.decrementAndGet();
    }

    boolean closing() {
      return closing;
    }
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
    Open open = new Open();
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new Pipeline(handler, open));
    var bound = bootstrap.bind(address.socket()).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new AdapterException(
          AdapterException.Code.CANNOT_LISTEN,
          "cannot listen on " + address + ": " + bound.cause().getMessage(),
          bound.cause());
    }
    return new HttpServer(bound.channel(), open);
  }

  /** Returns the address it listens on. */
  public Address address() {
    InetSocketAddress local = (InetSocketAddress) channel.localAddress();
    return new Address(local.getAddress().getHostAddress(), local.getPort());
  }

  /**
   * Ends each connection with the next answer on it. A caller would otherwise go on using it until
   * the process ends, and lose the answer to what it sent last.
   */
  public void drain() {
    open.closing = true;
  }

  /** Returns the number of requests that have no answer yet. */
  public int unanswered() {
    return open.calls.get();
  }

  @Override
  public void close() {
    channel.close().awaitUninterruptibly();
  }

  private static final class Pipeline extends ChannelInitializer<SocketChannel> {

    private final Consumer<HttpCall> handler;
    private final Open open;

    Pipeline(Consumer<HttpCall> handler, Open open) {
      this.handler = handler;
      this.open = open;
    }

    @Override
    protected void initChannel(SocketChannel child) {
      ChannelPipeline pipeline = child.pipeline();
      pipeline.addLast(new IdleStateHandler(0, 0, IDLE_SECONDS));
      pipeline.addLast(new HttpServerCodec());
      pipeline.addLast(new HttpObjectAggregator(MAX_BODY_BYTES));
      pipeline.addLast(new Calls(handler, open));
    }
  }

  private static final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final String MALFORMED =
        "{\"code\":\"bad_request\",\"ran\":\"not_run\","
            + "\"message\":\"this is not an HTTP/1.1 request\"}";

    private final Consumer<HttpCall> handler;
    private final Open open;

    Calls(Consumer<HttpCall> handler, Open open) {
      this.handler = handler;
      this.open = open;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      HttpCall call = new HttpCall(context, request, open);
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
