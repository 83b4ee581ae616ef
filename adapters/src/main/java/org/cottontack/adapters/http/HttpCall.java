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

/** One HTTP request at the server, answered once, from any thread. */
public final class HttpCall {

  private final ChannelHandlerContext context;
  private final String method;
  private final QueryStringDecoder uri;
  private final Map<String, String> headers;
  private final byte[] body;
  private final boolean keepAlive;
  private final HttpServer.Open open;
  private final AtomicBoolean answered = new AtomicBoolean();

  HttpCall(ChannelHandlerContext context, FullHttpRequest request, HttpServer.Open open) {
    this.context = context;
    this.open = open;
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
    open.began();
  }

  /** Returns the method, such as {@code GET}. */
  public String method() {
    return method;
  }

  /** Returns the path without its query. */
  public String path() {
    return uri.path();
  }

  /** Returns a query parameter. */
  public Optional<String> query(String name) {
    return uri.parameters().getOrDefault(name, List.of()).stream().findFirst();
  }

  /** Returns a header; its name is given in lower case. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /** Returns the body. */
  public byte[] body() {
    return body.clone();
  }

  /** Returns the body read as UTF-8. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** Answers with JSON text. */
  public void json(int status, String text) {
    respond(
        status, Map.of("content-type", "application/json"), text.getBytes(StandardCharsets.UTF_8));
  }

  /** Answers; a second answer is dropped. */
  public void respond(int status, Map<String, String> responseHeaders, byte[] bytes) {
    if (!answered.compareAndSet(false, true)) {
      return;
    }
    boolean keep = keepAlive && !open.closing();
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(bytes));
    responseHeaders.forEach((name, value) -> response.headers().set(name, value));
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
    HttpUtil.setKeepAlive(response, keep);
    var write = context.writeAndFlush(response);
    write.addListener(written -> open.ended());
    if (!keep) {
      write.addListener(ChannelFutureListener.CLOSE);
    }
  }

  /** Closes the connection without an answer, as a failing server does. */
  public void drop() {
    if (answered.compareAndSet(false, true)) {
      open.ended();
      context.close();
    }
  }
}
