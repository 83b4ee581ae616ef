package org.cottontack.daemon.job;

import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cottontack.core.job.JobEffect;
import org.cottontack.core.job.StartResult;

/**
 * Polls and paces workers on an event loop of their own, which writes these requests and reads the
 * reports while the leader's loop decides. All state stays with the leader's loop: results are
 * delivered there. Starts and stops are sent from the leader's loop, because a start is permitted
 * by the leader's state at the moment when it is sent.
 */
final class OffloadedPolls implements WorkerClient {

  private final WorkerClient orders;
  private final WorkerClient polls;
  private final Executor pollLoop;
  private final Executor leaderLoop;

  /**
   * Creates a client to be used on the leader's loop.
   *
   * @param orders sends starts and stops; used on the leader's loop
   * @param polls polls and paces workers; used on the loop for polls
   */
  OffloadedPolls(WorkerClient orders, WorkerClient polls, Executor pollLoop, Executor leaderLoop) {
    this.orders = orders;
    this.polls = polls;
    this.pollLoop = pollLoop;
    this.leaderLoop = leaderLoop;
  }

  @Override
  public void start(
      JobEffect.StartRun start, long epoch, BooleanSupplier allowed, Consumer<StartResult> done) {
    orders.start(start, epoch, allowed, done);
  }

  @Override
  public void stop(JobEffect.StopRun stop, long epoch, Consumer<Boolean> done) {
    orders.stop(stop, epoch, done);
  }

  @Override
  public void poll(
      JobEffect.LookAtWorker poll, long epoch, BooleanSupplier allowed, Consumer<PollResult> done) {
    pollLoop.execute(() -> polls.poll(poll, epoch, allowed, onLeaderLoop(done)));
  }

  @Override
  public void pace(JobEffect.PaceRun pace, long epoch, Consumer<Boolean> done) {
    pollLoop.execute(() -> polls.pace(pace, epoch, onLeaderLoop(done)));
  }

  @Override
  public void abandonPolls() {
    pollLoop.execute(polls::abandonPolls);
  }

  private <T> Consumer<T> onLeaderLoop(Consumer<T> done) {
    return result -> leaderLoop.execute(() -> done.accept(result));
  }
}
