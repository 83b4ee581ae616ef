package org.cottontack.adapters.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.cottontack.adapters.Address;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link HttpClient} over real sockets. */
public final class HttpClientTest {

  private HttpClientTest() {}

  /** Pooled connections to a worker that accepts a limited number of them. */
  public static final class PooledConnections {

    private static final int MAX_CONNECTIONS = 64;
    private static final int LEADERS = 4;
    private static final long IDLE_MILLIS = 1_000;
    private static final long ORDER_TIMEOUT_MILLIS = 900;
    private static final long WAIT_SECONDS = 10;

    private EventLoopGroup group;
    private Worker worker;

    /** Starts the worker. */
    @BeforeMethod
    public void start() throws IOException {
      group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
      worker = new Worker(MAX_CONNECTIONS);
    }

    /** Stops the worker. */
    @AfterMethod
    public void stop() throws IOException {
      worker.close();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /**
     * Guards against a leader that cannot reach a worker because idle connections of former leaders
     * use up all connections that the worker accepts.
     */
    @Test
    public void connectsToWorkerFilledByFormerLeaders() throws Exception {
      for (int i = 0; i < LEADERS; i++) {
        callConcurrently(new HttpClient(group, IDLE_MILLIS), MAX_CONNECTIONS / LEADERS);
      }
      assertEquals(worker.open(), MAX_CONNECTIONS);
      HttpClient currentLeader = new HttpClient(group, IDLE_MILLIS);
      callUntilAnswered(currentLeader).get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against unused connections that are kept open indefinitely. */
    @Test
    public void closesUnusedConnections() throws Exception {
      callConcurrently(new HttpClient(group, IDLE_MILLIS), MAX_CONNECTIONS);
      assertTrue(worker.closed.tryAcquire(MAX_CONNECTIONS, WAIT_SECONDS, TimeUnit.SECONDS));
    }

    /** Guards against the cost of reopening a connection that is used regularly. */
    @Test
    public void keepsConnectionInUse() throws Exception {
      HttpClient client = new HttpClient(group, IDLE_MILLIS);
      long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(3 * IDLE_MILLIS);
      while (System.nanoTime() < end) {
        assertTrue(call(client, ORDER_TIMEOUT_MILLIS).get().is(200));
      }
      assertEquals(worker.opened(), 1);
    }

    /** Guards against reopening the connection for each order whose send condition is false. */
    @Test
    public void keepsConnectionOfUnsentOrder() throws Exception {
      HttpClient client = new HttpClient(group, IDLE_MILLIS);
      HttpClient.Spec order = HttpClient.Spec.get(worker.address(), "/", ORDER_TIMEOUT_MILLIS);
      for (int i = 0; i < 5; i++) {
        HttpResult unsent = call(client, order.onlyIf(() -> false)).get();
        assertEquals(unsent.outcome(), HttpResult.Outcome.NOT_SENT);
      }
      assertTrue(call(client, order).get().is(200));
      assertEquals(worker.opened(), 1);
    }

    /** Guards against a response that is still delivered to a caller that has given up. */
    @Test
    public void closesConnectionOfCancelledCall() throws Exception {
      HttpClient client = new HttpClient(group, IDLE_MILLIS);
      CountDownLatch pending = new CountDownLatch(2);
      worker.pendingRequests = pending;
      HttpClient.Call call = new HttpClient.Call();
      CompletableFuture<HttpResult> result = call(client, call);
      while (pending.getCount() > 1) {
        Thread.onSpinWait();
      }
      call.cancel();
      HttpResult lost = result.get(WAIT_SECONDS, TimeUnit.SECONDS);
      assertEquals(lost.outcome(), HttpResult.Outcome.LOST);
    }

    /** Guards against closing a connection that has been returned to the pool. */
    @Test
    public void keepsConnectionOfAnsweredCall() throws Exception {
      HttpClient client = new HttpClient(group, IDLE_MILLIS);
      HttpClient.Call call = new HttpClient.Call();
      assertTrue(call(client, call).get(WAIT_SECONDS, TimeUnit.SECONDS).is(200));
      call.cancel();
      HttpClient.Call next = new HttpClient.Call();
      assertTrue(call(client, next).get(WAIT_SECONDS, TimeUnit.SECONDS).is(200));
      assertEquals(worker.opened(), 1);
    }

    /** Sends requests that are all in flight at the same time. */
    private void callConcurrently(HttpClient client, int calls) throws Exception {
      worker.pendingRequests = new CountDownLatch(calls);
      List<CompletableFuture<HttpResult>> results =
          IntStream.range(0, calls)
              .mapToObj(i -> call(client, TimeUnit.SECONDS.toMillis(WAIT_SECONDS)))
              .toList();
      for (CompletableFuture<HttpResult> result : results) {
        assertTrue(result.get(WAIT_SECONDS, TimeUnit.SECONDS).is(200));
      }
    }

    private CompletableFuture<HttpResult> callUntilAnswered(HttpClient client) {
      Executor delayed = CompletableFuture.delayedExecutor(10, TimeUnit.MILLISECONDS);
      return call(client, ORDER_TIMEOUT_MILLIS)
          .thenComposeAsync(
              result ->
                  result.is(200)
                      ? CompletableFuture.completedFuture(result)
                      : callUntilAnswered(client),
              delayed);
    }

    private CompletableFuture<HttpResult> call(HttpClient client, long timeoutMillis) {
      return call(client, HttpClient.Spec.get(worker.address(), "/", timeoutMillis));
    }

    private CompletableFuture<HttpResult> call(HttpClient client, HttpClient.Call call) {
      long timeoutMillis = TimeUnit.SECONDS.toMillis(2 * WAIT_SECONDS);
      CompletableFuture<HttpResult> result = new CompletableFuture<>();
      client.call(
          HttpClient.Spec.get(worker.address(), "/", timeoutMillis), call, result::complete);
      return result;
    }

    private CompletableFuture<HttpResult> call(HttpClient client, HttpClient.Spec spec) {
      CompletableFuture<HttpResult> result = new CompletableFuture<>();
      client.call(spec, result::complete);
      return result;
    }
  }

  /** A worker that accepts a limited number of connections and leaves others in the backlog. */
  private static final class Worker implements AutoCloseable {

    private static final int BACKLOG = 256;

    private static final byte[] RESPONSE =
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}".getBytes(StandardCharsets.UTF_8);

    private final ServerSocket server =
        new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final int maxConnections;
    private final Semaphore freeConnections;
    private final Semaphore closed = new Semaphore(0);
    private volatile CountDownLatch pendingRequests = new CountDownLatch(0);
    private final AtomicInteger opened = new AtomicInteger();

    Worker(int maxConnections) throws IOException {
      this.maxConnections = maxConnections;
      this.freeConnections = new Semaphore(maxConnections);
      threads.execute(this::accept);
    }

    Address address() {
      return new Address(server.getInetAddress().getHostAddress(), server.getLocalPort());
    }

    int open() {
      return maxConnections - freeConnections.availablePermits();
    }

    int opened() {
      return opened.get();
    }

    private void accept() {
      try {
        while (true) {
          freeConnections.acquire();
          Socket socket = server.accept();
          opened.incrementAndGet();
          threads.execute(() -> serve(socket));
        }
      } catch (IOException | InterruptedException e) {
        // The worker was closed.
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        BufferedReader in =
            new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
          if (line.isEmpty()) {
            pendingRequests.countDown();
            pendingRequests.await();
            socket.getOutputStream().write(RESPONSE);
          }
        }
      } catch (IOException | InterruptedException e) {
        // The caller or the worker closed the connection.
      } finally {
        freeConnections.release();
        closed.release();
      }
    }

    @Override
    public void close() throws IOException {
      server.close();
      threads.shutdownNow();
    }
  }
}
