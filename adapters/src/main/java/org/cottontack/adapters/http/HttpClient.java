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
import io.netty.handler.codec.http.TooLongHttpContentException;
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
 * Sends HTTP/1.1 requests over pooled connections. Each connection carries one request at a time,
 * so that a response can only belong to the request that precedes it.
 */
public final class HttpClient {

  /** Largest response of an endpoint, in bytes. */
  private static final int MAX_RESPONSE_BYTES = 16 << 20;

  /**
   * Largest response of a store or a worker, in bytes: three times the largest page of the
   * platform's store. Reading a response takes five times its size, and an instance has 96 MB.
   */
  public static final int MAX_TABLE_RESPONSE_BYTES = 4 << 20;

  private static final int CONNECT_MILLIS = 1_000;
  private static final int MAX_IDLE = 64;

  /**
   * Idle time after which a connection is closed, in milliseconds. It is twice the longest pause
   * between requests to one worker. Idle connections are closed because a worker accepts a limited
   * number of connections from all instances together.
   */
  private static final long IDLE_MILLIS = 10_000;

  private final Bootstrap bootstrap;
  private final Map<Address, Deque<Channel>> idle = new ConcurrentHashMap<>();
  private final long idleMillis;
  private final int maxResponseBytes;

  /** Creates a client that runs on the given event loops. */
  public HttpClient(EventLoopGroup group) {
    this(group, IDLE_MILLIS, MAX_RESPONSE_BYTES);
  }

  /** Creates a client that closes connections after the given idle time. */
  HttpClient(EventLoopGroup group, long idleMillis) {
    this(group, idleMillis, MAX_RESPONSE_BYTES);
  }

  private HttpClient(EventLoopGroup group, long idleMillis, int maxResponseBytes) {
    this.idleMillis = idleMillis;
    this.maxResponseBytes = maxResponseBytes;
    this.bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .handler(new Pipeline());
  }

  /** Creates a client for stores and workers, whose responses are smaller. */
  public static HttpClient forTables(EventLoopGroup group) {
    return new HttpClient(group, IDLE_MILLIS, MAX_TABLE_RESPONSE_BYTES);
  }

  /**
   * A request to send.
   *
   * @param address the server
   * @param method the HTTP method, such as {@code POST}
   * @param path the path with its query
   * @param headers the headers
   * @param body the body
   * @param timeoutMillis longest wait for the complete response
   * @param allowed evaluated right before the first byte is written; if false, the request is not
   *     sent
   */
  public record Spec(
      Address address,
      String method,
      String path,
      Map<String, String> headers,
      Payload body,
      long timeoutMillis,
      BooleanSupplier allowed) {

    /** Returns a GET request that is always sent. */
    public static Spec get(Address address, String path, long timeoutMillis) {
      return new Spec(address, "GET", path, Map.of(), Payload.EMPTY, timeoutMillis, () -> true);
    }

    /** Returns a POST request with JSON text that is always sent. */
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

    /** Returns a copy of this request that is sent only if the condition holds. */
    public Spec onlyIf(BooleanSupplier condition) {
      return new Spec(address, method, path, headers, body, timeoutMillis, condition);
    }
  }

  /** A request that may be cancelled while it is in flight. */
  public static final class Call {

    private volatile boolean cancelled;

    /** The connection that carries the request while its response is awaited. */
    private volatile Channel channel;

    /**
     * Cancels the request: it is not sent any more, or its connection is closed so that the server
     * cannot respond. The result is that of a lost response.
     */
    public void cancel() {
      cancelled = true;
      Channel open = channel;
      if (open != null) {
        open.close();
      }
    }
  }

  /**
   * Sends a request.
   *
   * @param spec the request
   * @param done receives exactly one result, on an event loop
   */
  public void call(Spec spec, Consumer<HttpResult> done) {
    call(spec, new Call(), done);
  }

  /**
   * Sends a request that may be cancelled.
   *
   * @param spec the request
   * @param call cancels it; used for this request only
   * @param done receives exactly one result, on an event loop
   */
  public void call(Spec spec, Call call, Consumer<HttpResult> done) {
    Channel reused = takeIdle(spec.address());
    if (reused == null) {
      connect(spec, call, done);
      return;
    }
    if (reused.eventLoop().inEventLoop()) {
      sendReused(reused, spec, call, done);
    } else {
      reused.eventLoop().execute(() -> sendReused(reused, spec, call, done));
    }
  }

  private void sendReused(Channel reused, Spec spec, Call call, Consumer<HttpResult> done) {
    if (reused.isActive()) {
      send(reused, spec, call, done);
    } else {
      connect(spec, call, done);
    }
  }

  private void connect(Spec spec, Call call, Consumer<HttpResult> done) {
    bootstrap
        .connect(spec.address().socket())
        .addListener(
            (ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                send(connected.channel(), spec, call, done);
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

  private void removeIdle(Address address, Channel channel) {
    Deque<Channel> channels = idle.get(address);
    if (channels != null) {
      synchronized (channels) {
        channels.remove(channel);
      }
    }
  }

  /**
   * Closes the idle connections to an address. When one connection stops responding, the others
   * usually have failed too, and each of the next requests would wait for its full timeout on
   * another dead connection.
   */
  private void dropIdle(Address address) {
    Deque<Channel> channels = idle.remove(address);
    if (channels != null) {
      synchronized (channels) {
        channels.forEach(Channel::close);
      }
    }
  }

  private void send(Channel channel, Spec spec, Call call, Consumer<HttpResult> done) {
    if (!channel.isActive()) {
      done.accept(HttpResult.notSent());
      return;
    }
    Exchange exchange = channel.pipeline().get(Exchange.class);
    exchange.address = spec.address();
    // The process may have been paused for a long time since the caller decided to send.
    if (call.cancelled || !spec.allowed().getAsBoolean()) {
      keepIdle(spec.address(), channel);
      done.accept(HttpResult.notSent());
      return;
    }
    exchange.begin(channel, spec, call, done);
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
      channel.pipeline().addLast(new HttpObjectAggregator(maxResponseBytes));
      channel.pipeline().addLast(new Exchange());
    }
  }

  /** The request in flight on a connection. Used only on the event loop of the connection. */
  private final class Exchange extends SimpleChannelInboundHandler<FullHttpResponse> {

    private Consumer<HttpResult> callback;
    private Call call;
    private Address address;
    private Future<?> timeout;

    void begin(Channel channel, Spec spec, Call next, Consumer<HttpResult> done) {
      callback = done;
      call = next;
      call.channel = channel;
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
      if (callback != null) {
        takeCallback().accept(result);
      }
    }

    /** Ends the exchange and returns the callback for its result. */
    private Consumer<HttpResult> takeCallback() {
      final Consumer<HttpResult> done = callback;
      callback = null;
      call.channel = null;
      timeout.cancel(false);
      return done;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      if (callback == null || response.decoderResult().isFailure()) {
        context.close();
        return;
      }
      HttpResult result =
          new HttpResult(
              HttpResult.Outcome.ANSWERED,
              response.status().code(),
              lowerCase(response),
              Payload.of(ByteBufUtil.getBytes(response.content())));
      Consumer<HttpResult> done = takeCallback();
      // The connection is returned to the pool before the callback runs, because the callback often
      // sends the next request at once.
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
        removeIdle(address, context.channel());
      }
      end(HttpResult.lost());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof IdleStateEvent && callback == null) {
        context.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      if (cause instanceof TooLongHttpContentException) {
        end(HttpResult.tooLarge());
      }
      context.close();
    }
  }
}
