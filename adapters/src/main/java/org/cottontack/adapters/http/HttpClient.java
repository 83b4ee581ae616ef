package org.cottontack.adapters.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
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
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cottontack.adapters.Address;
import org.cottontack.core.peer.Payload;

/**
 * Makes HTTP/1.1 requests over kept connections, one request at a time on each, so that an answer
 * can only belong to the request before it.
 */
public final class HttpClient {

  private static final int MAX_ANSWER_BYTES = 16 << 20;
  private static final int CONNECT_MILLIS = 1_000;
  private static final int MAX_IDLE = 64;

  /**
   * Time without use after which a connection is closed, in milliseconds: two of the longest pauses
   * between calls to one worker. Workers take a limited number of connections from all of us.
   */
  private static final long IDLE_MILLIS = 10_000;

  private final Bootstrap bootstrap;
  private final Map<Address, Deque<Channel>> idle = new ConcurrentHashMap<>();
  private final long idleMillis;

  /** Creates a client on event loops. */
  public HttpClient(EventLoopGroup group) {
    this(group, IDLE_MILLIS);
  }

  /** Creates a client that closes connections after some time without use. */
  HttpClient(EventLoopGroup group, long idleMillis) {
    this.idleMillis = idleMillis;
    this.bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .handler(new Pipeline());
  }

  /**
   * A request to be made.
   *
   * @param address where to
   * @param method such as {@code POST}
   * @param path with query
   * @param headers headers
   * @param body the body
   * @param timeoutMillis longest wait for the whole answer
   * @param allowed asked right before the first byte is written; false means it is not sent
   */
  public record Spec(
      Address address,
      String method,
      String path,
      Map<String, String> headers,
      Payload body,
      long timeoutMillis,
      BooleanSupplier allowed) {

    /** Returns a GET without conditions. */
    public static Spec get(Address address, String path, long timeoutMillis) {
      return new Spec(address, "GET", path, Map.of(), Payload.EMPTY, timeoutMillis, () -> true);
    }

    /** Returns a POST of JSON text without conditions. */
    public static Spec post(Address address, String path, Payload json, long timeoutMillis) {
      return new Spec(
          address,
          "POST",
          path,
          Map.of("content-type", "application/json"),
          json,
          timeoutMillis,
          () -> true);
    }

    /** Returns this request with a condition for sending it. */
    public Spec onlyIf(BooleanSupplier condition) {
      return new Spec(address, method, path, headers, body, timeoutMillis, condition);
    }
  }

  /**
   * Makes a request.
   *
   * @param spec the request
   * @param done gets exactly one result, on an event loop
   */
  public void call(Spec spec, Consumer<HttpResult> done) {
    Channel kept = takeIdle(spec.address());
    if (kept == null) {
      connect(spec, done);
      return;
    }
    if (kept.eventLoop().inEventLoop()) {
      sendKept(kept, spec, done);
    } else {
      kept.eventLoop().execute(() -> sendKept(kept, spec, done));
    }
  }

  private void sendKept(Channel kept, Spec spec, Consumer<HttpResult> done) {
    if (kept.isActive()) {
      send(kept, spec, done);
    } else {
      connect(spec, done);
    }
  }

  private void connect(Spec spec, Consumer<HttpResult> done) {
    bootstrap
        .connect(spec.address().socket())
        .addListener(
            (ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                send(connected.channel(), spec, done);
              } else {
                done.accept(HttpResult.notSent());
              }
            });
  }

  private Channel takeIdle(Address address) {
    Deque<Channel> channels = idle.get(address);
    if (channels == null) {
      return null;
    }
    synchronized (channels) {
      while (!channels.isEmpty()) {
        Channel channel = channels.pollLast();
        if (channel.isActive()) {
          return channel;
        }
      }
    }
    return null;
  }

  private void keepIdle(Address address, Channel channel) {
    Deque<Channel> channels = idle.computeIfAbsent(address, a -> new ArrayDeque<>());
    synchronized (channels) {
      if (channels.size() < MAX_IDLE) {
        channels.addLast(channel);
        return;
      }
    }
    channel.close();
  }

  private void forget(Address address, Channel channel) {
    Deque<Channel> channels = idle.get(address);
    if (channels != null) {
      synchronized (channels) {
        channels.remove(channel);
      }
    }
  }

  /**
   * Closes the idle connections to an address. One that went silent is rarely alone: without this
   * each of the next calls would wait out its own time on another dead connection.
   */
  private void dropIdle(Address address) {
    Deque<Channel> channels = idle.remove(address);
    if (channels != null) {
      synchronized (channels) {
        channels.forEach(Channel::close);
      }
    }
  }

  private void send(Channel channel, Spec spec, Consumer<HttpResult> done) {
    if (!channel.isActive()) {
      done.accept(HttpResult.notSent());
      return;
    }
    Exchange exchange = channel.pipeline().get(Exchange.class);
    exchange.address = spec.address();
    // Between the decision and this point the process may have been paused for long.
    if (!spec.allowed().getAsBoolean()) {
      keepIdle(spec.address(), channel);
      done.accept(HttpResult.notSent());
      return;
    }
    exchange.begin(channel, spec, done);
    channel
        .writeAndFlush(request(spec))
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                exchange.end(HttpResult.lost());
                channel.close();
              }
            });
  }

  private static FullHttpRequest request(Spec spec) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(spec.method()),
            spec.path(),
            Unpooled.wrappedBuffer(spec.body().bytes()));
    spec.headers().forEach((name, value) -> request.headers().set(name, value));
    request.headers().set(HttpHeaderNames.HOST, spec.address().toString());
    request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, spec.body().size());
    return request;
  }

  private final class Pipeline extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      channel
          .pipeline()
          .addLast(new IdleStateHandler(0, 0, idleMillis, TimeUnit.MILLISECONDS))
          .addLast(new HttpClientCodec());
      channel.pipeline().addLast(new HttpObjectAggregator(MAX_ANSWER_BYTES));
      channel.pipeline().addLast(new Exchange());
    }
  }

  /** The one request under way on a connection; used on the connection's event loop only. */
  private final class Exchange extends SimpleChannelInboundHandler<FullHttpResponse> {

    private Consumer<HttpResult> waiting;
    private Address address;
    private Future<?> timeout;

    void begin(Channel channel, Spec spec, Consumer<HttpResult> done) {
      waiting = done;
      timeout =
          channel
              .eventLoop()
              .schedule(
                  () -> {
                    end(HttpResult.lost());
                    channel.close();
                    dropIdle(spec.address());
                  },
                  spec.timeoutMillis(),
                  TimeUnit.MILLISECONDS);
    }

    void end(HttpResult result) {
      if (waiting != null) {
        taken().accept(result);
      }
    }

    /** Ends the exchange and returns who waits for its result. */
    private Consumer<HttpResult> taken() {
      Consumer<HttpResult> done = waiting;
      waiting = null;
      timeout.cancel(false);
      return done;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      if (waiting == null || response.decoderResult().isFailure()) {
        context.close();
        return;
      }
      HttpResult result =
          new HttpResult(
              HttpResult.Outcome.ANSWERED,
              response.status().code(),
              lowerCase(response),
              Payload.of(ByteBufUtil.getBytes(response.content())));
      Consumer<HttpResult> done = taken();
      // Before the result is told: whoever gets it often makes the next call at once.
      if (HttpUtil.isKeepAlive(response)) {
        keepIdle(address, context.channel());
      } else {
        context.close();
      }
      done.accept(result);
    }

    private Map<String, String> lowerCase(FullHttpResponse response) {
      return response.headers().entries().stream()
          .collect(
              Collectors.toUnmodifiableMap(
                  e -> e.getKey().toLowerCase(Locale.ROOT),
                  Map.Entry::getValue,
                  (first, second) -> first));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (address != null) {
        forget(address, context.channel());
      }
      end(HttpResult.lost());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof IdleStateEvent && waiting == null) {
        context.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
