package org.cottontack.daemon.job;

import com.sun.management.OperatingSystemMXBean;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.http.HttpCall;
import org.cottontack.adapters.http.HttpClient;
import org.cottontack.adapters.http.HttpServer;
import org.cottontack.daemon.settings.JobSettings;
import org.cottontack.daemon.settings.SettingsException;

/**
 * Runs an entry instance for jobs as a process: start, check of changed settings, graceful stop.
 */
public final class JobProcess {

  private static final Logger LOG = LogManager.getLogger(JobProcess.class);
  private static final int BAD_SETTINGS = 3;
  private static final int CANNOT_START = 4;

  /**
   * Margin between the end of a graceful stop and the time when the platform kills the process, in
   * milliseconds.
   */
  private static final long EXIT_MARGIN_MILLIS = 800;

  /**
   * How long new connections may still arrive after the stop order, in milliseconds. The platform
   * checks readiness once a second and stops routing after two failed checks.
   */
  private static final long NEW_CONNECTIONS_MILLIS = 2_500;

  private static final long POLL_MILLIS = 20;
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final Path file;
  private final JobSettings settings;
  private final Timers timers;
  private final JobEntry entry;
  private final HttpServer callers;

  private JobProcess(Path file, JobSettings settings, PlatformAdapter adapter) {
    this.file = file;
    this.settings = settings;
    BusyTime loopBusy = new BusyTime(NioIoHandler.newFactory());
    BusyTime pollLoopBusy = new BusyTime(NioIoHandler.newFactory());
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, loopBusy);
    EventLoopGroup pollGroup = new MultiThreadIoEventLoopGroup(1, pollLoopBusy);
    EventLoop loop = group.next();
    timers =
        new LoopTimers(
            loop,
            Map.of(
                "loopBusy", loopBusy::nanos,
                "pollLoopBusy", pollLoopBusy::nanos,
                "processCpu", JobProcess::processorNanos));
    HttpClient http = HttpClient.forTables(group);
    WatchedStore store =
        new WatchedStore(adapter.store(http, settings.store(), settings.rowBytes()), timers);
    entry =
        new JobEntry(
            new Instance(
                settings.name(),
                settings.dataCentre(),
                settings.capacity(),
                settings.loadControl()),
            settings.keepMillis(),
            store,
            timers,
            adapter.rules(store, timers),
            adapter.registry(store, timers),
            new OffloadedPolls(
                adapter.workers(http),
                adapter.workers(HttpClient.forTables(pollGroup)),
                pollGroup.next(),
                loop));
    callers = HttpServer.listen(group, settings.callers(), adapter.callers(entry));
    HttpServer.listen(group, settings.readiness(), this::readiness);
    HttpServer.listen(group, settings.metrics(), this::metrics);
  }

  private static long processorNanos() {
    return ManagementFactory.getOperatingSystemMXBean() instanceof OperatingSystemMXBean process
        ? process.getProcessCpuTime()
        : 0;
  }

  /**
   * Runs until the platform stops the process. Exit codes: 0 stopped on request, 3 invalid
   * settings, 4 cannot start.
   *
   * @param file the settings file
   * @param adapter translates between the platform's interfaces and this instance
   */
  public static void run(Path file, PlatformAdapter adapter) {
    try {
      new JobProcess(file, JobSettings.load(file), adapter).start();
    } catch (SettingsException e) {
      fail(BAD_SETTINGS, e);
    } catch (AdapterException e) {
      fail(CANNOT_START, e);
    }
  }

  private static void fail(int code, Exception cause) {
    LOG.fatal("cannot run: {}", cause.getMessage(), cause);
    LogManager.shutdown();
    Runtime.getRuntime().halt(code);
  }

  private void start() {
    timers.soon(entry::start);
    HangupSignal.handle(this::checkReloadedSettings);
    LOG.info("started {}", settings.name());
    Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "stop"));
  }

  private void readiness(HttpCall call) {
    call.json(entry.ready() ? OK : UNAVAILABLE, "{}");
  }

  private void metrics(HttpCall call) {
    byte[] text = entry.metrics().text().getBytes(StandardCharsets.UTF_8);
    call.respond(OK, Map.of("content-type", "text/plain; charset=utf-8"), text);
  }

  /**
   * Checks the changed settings file. No change is applied, because these settings are fixed for
   * the lifetime of the process.
   */
  private void checkReloadedSettings() {
    try {
      LOG.info("settings file changed: {}", JobSettings.load(file));
    } catch (SettingsException e) {
      LOG.error("the changed settings are invalid; the next start would fail", e);
    }
  }

  /**
   * Stops the process: releases leadership, closes each caller's connection with its next response,
   * and exits once the platform routes no new connections here and no call is unanswered, but no
   * later than the end of the grace period.
   */
  private void stop() {
    long startMillis = timers.now().mono();
    long deadlineMillis = startMillis + settings.graceMillis() - EXIT_MARGIN_MILLIS;
    CountDownLatch leadershipReleased = new CountDownLatch(1);
    timers.soon(() -> entry.stop(leadershipReleased::countDown));
    callers.drain();
    try {
      leadershipReleased.await(settings.graceMillis() - EXIT_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
      while (timers.now().mono() < startMillis + NEW_CONNECTIONS_MILLIS
          || (callers.unanswered() > 0 && timers.now().mono() < deadlineMillis)) {
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    LOG.info("stopped {}, unanswered: {}", settings.name(), callers.unanswered());
    LogManager.shutdown();
    Runtime.getRuntime().halt(0);
  }
}
