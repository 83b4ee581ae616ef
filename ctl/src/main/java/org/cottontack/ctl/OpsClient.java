package org.cottontack.ctl;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cottontack.adapters.Address;
import org.cottontack.adapters.http.HttpClient;
import org.cottontack.adapters.http.HttpResult;
import org.cottontack.core.peer.Payload;

/** Sends requests to operators' ports and waits for the responses. */
final class OpsClient implements AutoCloseable {

  private static final long TIMEOUT_MILLIS = 10_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient client = new HttpClient(group);

  HttpResult get(Address address, String path) {
    return call(HttpClient.Spec.get(address, path, TIMEOUT_MILLIS));
  }

  HttpResult send(Address address, String method, String path, String body) {
    return call(
        new HttpClient.Spec(
            address,
            method,
            path,
            Map.of("content-type", "application/yaml"),
            Payload.of(body),
            TIMEOUT_MILLIS,
            () -> true));
  }

  private HttpResult call(HttpClient.Spec spec) {
    CompletableFuture<HttpResult> response = new CompletableFuture<>();
    client.call(spec, response::complete);
    HttpResult result = response.join();
    if (result.outcome() != HttpResult.Outcome.ANSWERED) {
      throw new CtlException(
          ExitCode.UNREACHABLE, "no answer from the instance at " + spec.address());
    }
    return result;
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
