package org.cottontack.daemon;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.cottontack.adapters.fleet.HttpMembership;
import org.cottontack.adapters.http.HttpClient;
import org.cottontack.adapters.http.HttpServer;
import org.cottontack.adapters.peer.PeerTransport;
import org.cottontack.adapters.request.HttpEndpoints;
import org.cottontack.adapters.store.HttpTableService;
import org.cottontack.adapters.task.HttpWorkers;
import org.cottontack.core.Effect;
import org.cottontack.core.Event;
import org.cottontack.core.State;
import org.cottontack.core.fleet.FleetEffect;
import org.cottontack.core.id.InstanceId;
import org.cottontack.core.ownership.OwnershipEvent;
import org.cottontack.core.peer.PeerEffect;
import org.cottontack.core.request.RequestEffect;
import org.cottontack.core.store.StoreEffect;
import org.cottontack.core.table.TableEffect;
import org.cottontack.core.task.TaskEffect;
import org.cottontack.daemon.http.OperatorRoutes;
import org.cottontack.daemon.http.RequestRoutes;
import org.cottontack.daemon.http.Routes;
import org.cottontack.daemon.http.StoreReader;
import org.cottontack.daemon.http.TaskRoutes;
import org.cottontack.daemon.metrics.DaemonMetrics;
import org.cottontack.daemon.settings.DaemonSettings;
import org.cottontack.daemon.settings.SettingKey;
import org.cottontack.daemon.timeline.HybridClock;
import org.cottontack.daemon.timeline.Timeline;

/** An entry instance: connects the engine to its adapters and runs until it has left. */
public final class Daemon implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(Daemon.class);
  private static final int IO_THREADS = 2;
  private static final int NONCE_LENGTH = 8;

  private final DaemonSettings settings;
  private final EventLoopGroup group;
  private final HybridClock clock = new HybridClock(System::currentTimeMillis);
  private final Timeline timeline;
  private final EffectRunner effects = new EffectRunner();
  private final Engine engine;
  private final DaemonMetrics metrics;
  private final CountDownLatch left = new CountDownLatch(1);
  private final PeerTransport peers;
  private final HttpServer callers;
  private final HttpServer operators;

  /**
   * Starts an entry instance. Its ports are open when the constructor returns; it becomes ready a
   * little later.
   */
  public Daemon(DaemonSettings settings) {
    this.settings = settings;
    this.group = new MultiThreadIoEventLoopGroup(IO_THREADS, NioIoHandler.newFactory());
    this.timeline = new Timeline(Math.toIntExact(settings.number(SettingKey.TIMELINE)));
    State initial = State.initial(settings.core(incarnation()), Engine.now());
    this.engine = new Engine(initial, this::run, event -> this.countEvent(event));
    this.metrics = new DaemonMetrics(engine::state);
    HttpClient control = new HttpClient(group);
    Routes callerRoutes = new Routes();
    Routes operatorRoutes = new Routes();
    bindPlatform(control);
    bindRoutes(control, callerRoutes, operatorRoutes);
    this.peers =
        new PeerTransport(
            group,
            settings.address(SettingKey.LISTEN_PEERS),
            () -> engine.state().ownership().self(),
            clock::next,
            clock::witness,
            engine::post);
    bindCore();
    this.callers =
        HttpServer.listen(group, settings.address(SettingKey.LISTEN_CALLERS), callerRoutes);
    this.operators =
        HttpServer.listen(group, settings.address(SettingKey.LISTEN_OPERATORS), operatorRoutes);
    engine.post(new OwnershipEvent.Start());
  }

  private InstanceId incarnation() {
    String nonce = UUID.randomUUID().toString().substring(0, NONCE_LENGTH);
    return new InstanceId(settings.address(SettingKey.LISTEN_PEERS) + "-" + nonce);
  }

  private void countEvent(Event event) {
    metrics.event(event);
  }

  private void run(Effect effect) {
    metrics.effect(effect);
    effects.run(effect);
  }

  private void bindPlatform(HttpClient control) {
    HttpTableService store =
        new HttpTableService(
            control,
            settings.address(SettingKey.PLATFORM_STORE),
            settings.number(SettingKey.PLATFORM_TIMEOUT),
            engine::post);
    HttpMembership membership =
        new HttpMembership(
            control,
            settings.address(SettingKey.PLATFORM_MEMBERSHIP),
            settings.dataCentre(),
            engine::post);
    HttpWorkers workers = new HttpWorkers(control, Engine::mono, engine::post);
    HttpEndpoints endpoints = new HttpEndpoints(new HttpClient(group), Engine::mono, engine::post);
    effects
        .on(StoreEffect.Commit.class, store::commit)
        .on(StoreEffect.Scan.class, store::scan)
        .on(FleetEffect.FetchList.class, fetch -> membership.fetch())
        .on(FleetEffect.ProbeEndpoint.class, endpoints::probe)
        .on(RequestEffect.Dispatch.class, endpoints::dispatch)
        .on(TaskEffect.PollWorker.class, workers::poll)
        .on(TaskEffect.StartRun.class, workers::start)
        .on(TaskEffect.StopRun.class, workers::stop);
  }

  private void bindRoutes(HttpClient control, Routes callerRoutes, Routes operatorRoutes) {
    RequestRoutes requests = new RequestRoutes(engine::post, metrics);
    TaskRoutes tasks = new TaskRoutes(engine::post, engine::postAfter);
    StoreReader reader =
        new StoreReader(
            control, settings.address(SettingKey.PLATFORM_STORE), settings.dataCentre());
    OperatorRoutes ops = new OperatorRoutes(engine::post, engine::state, metrics, timeline, reader);
    requests.addTo(callerRoutes);
    tasks.addTo(callerRoutes);
    ops.addHealthTo(callerRoutes);
    ops.addTo(operatorRoutes);
    effects
        .on(RequestEffect.Reply.class, requests::reply)
        .on(TaskEffect.Answered.class, tasks::answered)
        .on(TableEffect.EditAnswered.class, ops::edited);
  }

  private void bindCore() {
    effects
        .on(PeerEffect.Send.class, send -> peers.send(send.address(), send.message()))
        .on(Effect.After.class, after -> engine.postAfter(after.millis(), after.event()))
        .on(Effect.Note.class, this::logEvent)
        .on(Effect.Halt.class, halt -> left.countDown());
  }

  private void logEvent(Effect.Note note) {
    long stamp = clock.next();
    String instance = engine.state().ownership().self().value();
    timeline.add(
        new Timeline.Entry(
            stamp,
            System.currentTimeMillis(),
            instance,
            settings.dataCentre().value(),
            note.name(),
            note.subject(),
            note.detail()));
    LOG.info(
        new StringMapMessage()
            .with("event", note.name())
            .with("subject", note.subject())
            .with("detail", note.detail())
            .with("instance", instance)
            .with("dataCentre", settings.dataCentre().value())
            .with("clock", stamp));
  }

  /** Returns the metrics. */
  public MetricRegistry registry() {
    return metrics.registry();
  }

  /**
   * Waits until this instance has left on an operator's request.
   *
   * @throws InterruptedException when the thread is interrupted
   */
  public void awaitLeft() throws InterruptedException {
    left.await();
  }

  /**
   * Stops gracefully: accepts no new work, finishes the work in progress and releases its share of
   * endpoints and workers. Returns whether this was done within the drain time.
   */
  public boolean stop() throws InterruptedException {
    engine.post(new OwnershipEvent.StopAsked());
    boolean graceful = left.await(settings.number(SettingKey.DRAIN), TimeUnit.MILLISECONDS);
    close();
    return graceful;
  }

  @Override
  public void close() {
    callers.close();
    operators.close();
    peers.close();
    engine.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
