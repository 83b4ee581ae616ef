package org.cottontack.adapters.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;

/** One HTTP request at the server. It may be answered from any thread, and only once. */
public final class HttpCall {

  private final ChannelHandlerContext context;
  private final String method;
  private final QueryStringDecoder uri;
  private final Map<String, String> headers;
  private final byte[] body;
  private final boolean keepAlive;
  private final HttpServer.OpenCalls openCalls;
  private final AtomicBoolean answered = new AtomicBoolean();

  HttpCall(ChannelHandlerContext context, FullHttpRequest request, HttpServer.OpenCalls openCalls) {
    this.context = context;
    this.openCalls = openCalls;
    this.method = request.method().name();
    this.uri = new QueryStringDecoder(request.uri());
    this.headers =
        request.headers().entries().stream()
            .collect(
                Collectors.toUnmodifiableMap(
                    e -> e.getKey().toLowerCase(Locale.ROOT),
                    Map.Entry::getValue,
                    (first, second) -> first));
    this.body = ByteBufUtil.getBytes(request.content());
    this.keepAlive = HttpUtil.isKeepAlive(request);
    openCalls.started();
  }

  /** Returns the method, such as {@code GET}. */
  public String method() {
    return method;
  }

  /** Returns the path without the query. */
  public String path() {
    return uri.path();
  }

  /** Returns the first value of a query parameter. */
  public Optional<String> query(String name) {
    return uri.parameters().getOrDefault(name, List.of()).stream().findFirst();
  }

  /** Returns the first value of a header, whose name must be in lower case. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /** Returns a copy of the body. */
  public byte[] body() {
    return body.clone();
  }

  /** Returns the body decoded as UTF-8. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** Sends a response with JSON text. */
  public void json(int status, String text) {
    respond(
        status, Map.of("content-type", "application/json"), text.getBytes(StandardCharsets.UTF_8));
  }

  /** Sends a response. Responses after the first one are discarded. */
  public void respond(int status, Map<String, String> responseHeaders, byte[] bytes) {
    if (!answered.compareAndSet(false, true)) {
      return;
    }
    boolean keep = keepAlive && !openCalls.closing();
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(bytes));
    responseHeaders.forEach((name, value) -> response.headers().set(name, value));
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
    HttpUtil.setKeepAlive(response, keep);
    var write = context.writeAndFlush(response);
    write.addListener(written -> openCalls.finished());
    if (!keep) {
      write.addListener(ChannelFutureListener.CLOSE);
    }
  }

  /** Closes the connection without a response, like a failing server. */
  public void drop() {
    if (answered.compareAndSet(false, true)) {
      openCalls.finished();
      context.close();
    }
  }
}
