package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.job.JobEffect;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.OrderTarget;
import org.cottontack.core.job.RunKey;
import org.cottontack.core.job.StartResult;
import org.cottontack.core.job.StepId;
import org.cottontack.core.job.TaskName;
import org.cottontack.core.job.WorkerIncarnation;
import org.testng.annotations.Test;

/** Tests of polls on an event loop of their own, in virtual time. */
public class OffloadedPollsTest {

  private static final int WORKERS = 470;

  /** How long an answer is under way, in milliseconds. */
  private static final long ANSWER_MILLIS = 2;

  /** How long it takes to read a report, in milliseconds. */
  private static final long READ_MILLIS = 1;

  private final VirtualTimers time = new VirtualTimers();
  private final VirtualTimers.View leaderLoop = time.process();
  private final VirtualTimers.View pollLoop = time.process();
  private final ReadingClient client = new ReadingClient();
  private final OffloadedPolls workers =
      new OffloadedPolls(client, client, pollLoop::soon, leaderLoop::soon);

  private static OrderTarget target(int number) {
    WorkerId id = new WorkerId("w" + number);
    return new OrderTarget(WorkerIncarnation.withUniqueIdentifier(id), "w:" + number, 0);
  }

  private static RunKey run(int number) {
    return new RunKey(new TaskName(new StepId(new JobId("a"), 0, 0), number), 1);
  }

  private void pollAll(Consumer<WorkerClient.PollResult> done) {
    IntStream.range(0, WORKERS)
        .mapToObj(number -> new JobEffect.LookAtWorker(target(number), 0, 0, 0))
        .forEach(poll -> workers.poll(poll, 1, () -> true, done));
  }

  /** Workers that answer; reading their reports keeps the loop busy on which it is done. */
  private final class ReadingClient implements WorkerClient {

    final List<Long> startsMillis = new ArrayList<>();
    private boolean abandoned;

    @Override
    public void start(
        JobEffect.StartRun start, long epoch, BooleanSupplier allowed, Consumer<StartResult> done) {
      startsMillis.add(time.now());
    }

    @Override
    public void stop(JobEffect.StopRun stop, long epoch, Consumer<Boolean> done) {}

    @Override
    public void poll(
        JobEffect.LookAtWorker poll,
        long epoch,
        BooleanSupplier allowed,
        Consumer<PollResult> done) {
      pollLoop.after(
          ANSWER_MILLIS,
          () -> {
            pollLoop.pause(READ_MILLIS, false);
            done.accept(
                PollResult.of(abandoned ? PollResult.Outcome.SILENT : PollResult.Outcome.ANSWERED));
          });
    }

    @Override
    public void abandonPolls() {
      abandoned = true;
    }

    @Override
    public void pace(JobEffect.PaceRun pace, long epoch, Consumer<Boolean> done) {
      pollLoop.after(ANSWER_MILLIS, () -> done.accept(true));
    }
  }

  /** Guards against a start that waits until the reports of all workers are read. */
  @Test
  public void sendsStartsWhileReportsAreRead() {
    final long began = time.now();
    pollAll(result -> {});
    JobEffect.StartRun start = new JobEffect.StartRun(target(0), run(0), "payload", 0, "", 0);
    // The answers have arrived by the time when the start is due.
    Runnable order = () -> workers.start(start, 1, () -> true, result -> {});
    leaderLoop.after(ANSWER_MILLIS, () -> leaderLoop.after(1, order));
    time.run(WORKERS * READ_MILLIS + 100);
    assertEquals(client.startsMillis, List.of(began + ANSWER_MILLIS + 1));
  }

  /** Guards against results that reach the leader's state from another thread. */
  @Test
  public void deliversResultsOnTheLeadersLoop() {
    List<Long> delivered = new ArrayList<>();
    pollAll(result -> delivered.add(time.now()));
    workers.pace(new JobEffect.PaceRun(target(0), run(0), 50), 1, ok -> delivered.add(time.now()));
    leaderLoop.pause(1_000, false);
    final long resumes = time.now() + 1_000;
    time.run(2_000);
    assertEquals(delivered.size(), WORKERS + 1);
    assertTrue(delivered.stream().allMatch(millis -> millis >= resumes));
  }

  /** Guards against reports that are taken for answers after a term has given them up. */
  @Test
  public void abandonsPollsThatWereSent() {
    List<WorkerClient.PollResult.Outcome> outcomes = new ArrayList<>();
    pollAll(result -> outcomes.add(result.outcome()));
    workers.abandonPolls();
    time.run(2_000);
    assertEquals(outcomes.size(), WORKERS);
    assertTrue(outcomes.stream().allMatch(WorkerClient.PollResult.Outcome.SILENT::equals));
  }
}
