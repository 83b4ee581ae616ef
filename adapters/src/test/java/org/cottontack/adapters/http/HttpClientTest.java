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

/** The HTTP client over real sockets. */
public final class HttpClientTest {

  private HttpClientTest() {}

  /** Connections that are kept to a worker, which takes a limited number of them. */
  public static final class KeptConnections {

    private static final int CHANNELS = 64;
    private static final int LEADERS = 4;
    private static final long IDLE_MILLIS = 1_000;
    private static final long ORDER_MILLIS = 900;
    private static final long PATIENCE_SECONDS = 10;

    private EventLoopGroup group;
    private Worker worker;

    /** Starts a worker. */
    @BeforeMethod
    public void start() throws IOException {
      group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
      worker = new Worker(CHANNELS);
    }

    /** Stops it. */
    @AfterMethod
    public void stop() throws IOException {
      worker.close();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Guards against a leader whose orders no worker takes: former leaders hold its channels. */
    @Test
    public void leaderReachesWorkerThatFormerLeadersFilled() throws Exception {
      for (int i = 0; i < LEADERS; i++) {
        atOnce(new HttpClient(group, IDLE_MILLIS), CHANNELS / LEADERS);
      }
      assertEquals(worker.open(), CHANNELS);
      HttpClient present = new HttpClient(group, IDLE_MILLIS);
      untilAnswered(present).get(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against connections that are kept for ever by whoever does not use them. */
    @Test
    public void unusedConnectionsAreClosed() throws Exception {
      atOnce(new HttpClient(group, IDLE_MILLIS), CHANNELS);
      assertTrue(worker.closed.tryAcquire(CHANNELS, PATIENCE_SECONDS, TimeUnit.SECONDS));
    }

    /** Guards against connections in regular use that are opened anew: each one is paid for. */
    @Test
    public void connectionInUseIsKept() throws Exception {
      HttpClient client = new HttpClient(group, IDLE_MILLIS);
      long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(3 * IDLE_MILLIS);
      while (System.nanoTime() < end) {
        assertTrue(call(client, ORDER_MILLIS).get().is(200));
      }
      assertEquals(worker.opened(), 1);
    }

    /** Guards against connections that are opened anew for each order that must not leave now. */
    @Test
    public void orderThatMustNotLeaveKeepsItsConnection() throws Exception {
      HttpClient client = new HttpClient(group, IDLE_MILLIS);
      HttpClient.Spec order = HttpClient.Spec.get(worker.address(), "/", ORDER_MILLIS);
      for (int i = 0; i < 5; i++) {
        HttpResult barred = call(client, order.onlyIf(() -> false)).get();
        assertEquals(barred.outcome(), HttpResult.Outcome.NOT_SENT);
      }
      assertTrue(call(client, order).get().is(200));
      assertEquals(worker.opened(), 1);
    }

    /** Makes calls that are all under way at one moment. */
    private void atOnce(HttpClient client, int calls) throws Exception {
      worker.together = new CountDownLatch(calls);
      List<CompletableFuture<HttpResult>> results =
          IntStream.range(0, calls)
              .mapToObj(i -> call(client, TimeUnit.SECONDS.toMillis(PATIENCE_SECONDS)))
              .toList();
      for (CompletableFuture<HttpResult> result : results) {
        assertTrue(result.get(PATIENCE_SECONDS, TimeUnit.SECONDS).is(200));
      }
    }

    private CompletableFuture<HttpResult> untilAnswered(HttpClient client) {
      Executor soon = CompletableFuture.delayedExecutor(10, TimeUnit.MILLISECONDS);
      return call(client, ORDER_MILLIS)
          .thenComposeAsync(
              result ->
                  result.is(200)
                      ? CompletableFuture.completedFuture(result)
                      : untilAnswered(client),
              soon);
    }

    private CompletableFuture<HttpResult> call(HttpClient client, long timeoutMillis) {
      return call(client, HttpClient.Spec.get(worker.address(), "/", timeoutMillis));
    }

    private CompletableFuture<HttpResult> call(HttpClient client, HttpClient.Spec spec) {
      CompletableFuture<HttpResult> result = new CompletableFuture<>();
      client.call(spec, result::complete);
      return result;
    }
  }

  /** A worker that takes so many connections and leaves more of them waiting. */
  private static final class Worker implements AutoCloseable {

    private static final int BACKLOG = 256;

    private static final byte[] ANSWER =
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}".getBytes(StandardCharsets.UTF_8);

    private final ServerSocket server =
        new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final int most;
    private final Semaphore room;
    private final Semaphore closed = new Semaphore(0);
    private volatile CountDownLatch together = new CountDownLatch(0);
    private final AtomicInteger opened = new AtomicInteger();

    Worker(int most) throws IOException {
      this.most = most;
      this.room = new Semaphore(most);
      threads.execute(this::accept);
    }

    Address address() {
      return new Address(server.getInetAddress().getHostAddress(), server.getLocalPort());
    }

    int open() {
      return most - room.availablePermits();
    }

    int opened() {
      return opened.get();
    }

    private void accept() {
      try {
        while (true) {
          room.acquire();
          Socket socket = server.accept();
          opened.incrementAndGet();
          threads.execute(() -> serve(socket));
        }
      } catch (IOException | InterruptedException e) {
        // The worker is closed.
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        BufferedReader in =
            new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
          if (line.isEmpty()) {
            together.countDown();
            together.await();
            socket.getOutputStream().write(ANSWER);
          }
        }
      } catch (IOException | InterruptedException e) {
        // The caller or the worker has gone.
      } finally {
        room.release();
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
