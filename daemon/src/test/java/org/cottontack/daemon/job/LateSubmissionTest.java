package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import org.cottontack.core.job.JobId;
import org.testng.annotations.Test;

/**
 * Tests of cancellations that reach the store before their submission does: what callers are told
 * of either holds, in whatever order the store carries them out.
 */
public class LateSubmissionTest {

  private static final JobId ID = new JobId("5c0e7a21d94b36f8");

  private static final Set<Intake.Answer> ACKNOWLEDGED =
      Set.of(Intake.Answer.STORED, Intake.Answer.ABSENT);

  /** One job's callers at several instances. */
  private static final class World {
    final VirtualTimers time = new VirtualTimers();
    final FakeTableStore store = new FakeTableStore(time);
    final VirtualTimers.View callers = time.process();
    final List<Intake.Answer> submitted = new ArrayList<>();
    final List<Intake.Answer> cancelled = new ArrayList<>();

    private Intake instance() {
      VirtualTimers.View process = time.process();
      WatchedStore watched = new WatchedStore(store.seenBy(process, call -> true), process);
      return new JobEntry(TestJobs.INSTANCE, 120_000, watched, process, null, null, null).intake();
    }

    void submitAfter(long millis) {
      Intake intake = instance();
      callers.after(
          millis, () -> intake.submit(TestJobs.job(ID, 2), OptionalLong.of(2_950), submitted::add));
    }

    /** Cancels, and again at another instance while that is not acknowledged. */
    void cancelAfter(long millis) {
      Intake intake = instance();
      callers.after(millis, () -> intake.cancel(ID, OptionalLong.of(2_950), this::answered));
    }

    private void answered(Intake.Answer answer) {
      cancelled.add(answer);
      if (!ACKNOWLEDGED.contains(answer) && cancelled.size() < 10) {
        cancelAfter(500);
      }
    }

    /** Returns what does not hold of the answers. */
    Optional<String> fault() {
      boolean stored = store.table(JobTables.JOBS).containsKey(ID.value());
      boolean open = stored && !"1".equals(store.table(JobTables.CANCELS).get(ID.value()));
      String told = "submitted %s, cancelled %s".formatted(submitted, cancelled);
      if (open && cancelled.stream().anyMatch(ACKNOWLEDGED::contains)) {
        return Optional.of("cancelled and open: " + told);
      }
      if (!stored && submitted.contains(Intake.Answer.STORED)) {
        return Optional.of("accepted and not stored: " + told);
      }
      boolean maybe =
          submitted.contains(Intake.Answer.STORED) || submitted.contains(Intake.Answer.UNKNOWN);
      return stored && !maybe ? Optional.of("rejected and stored: " + told) : Optional.empty();
    }
  }

  private static void holdsInAll(int cases, BiConsumer<World, Integer> scene) {
    List<String> faults =
        IntStream.range(0, cases).mapToObj(number -> faultOf(scene, number)).toList();
    List<String> found = faults.stream().filter(fault -> !fault.isEmpty()).toList();
    String some = String.join("; ", found.subList(0, Math.min(3, found.size())));
    assertEquals(found.size(), 0, "%d of %d: %s".formatted(found.size(), cases, some));
  }

  private static String faultOf(BiConsumer<World, Integer> scene, int number) {
    World world = new World();
    scene.accept(world, number);
    world.time.run(60_000);
    return world.fault().map(fault -> number + " " + fault).orElse("");
  }

  /** Calls that the store carries out late, loses or refuses. */
  public static class CarriedOutLate {

    /** Guards against a job that runs on after its caller was told that there is none. */
    @Test
    public void leavesNoOpenJobBehindAnAcknowledgedCancellation() {
      holdsInAll(1_000, CarriedOutLate::anyOrder);
    }

    private static void anyOrder(World world, int seed) {
      Random random = new Random(seed);
      world.store.fate =
          change -> {
            world.store.lateMillis = 50L + random.nextInt(10_000);
            FakeTableStore.Fate[] fates = FakeTableStore.Fate.values();
            return fates[random.nextInt(fates.length)];
          };
      world.submitAfter(0);
      if (random.nextBoolean()) {
        world.submitAfter(random.nextInt(8_000));
      }
      world.cancelAfter(random.nextInt(6_000));
    }
  }

  /** A submission and a cancellation at two instances. */
  public static class AtOnce {

    /** Guards against a cancellation that looks for its job just before it is stored. */
    @Test
    public void leavesNoOpenJobWhicheverComesFirst() {
      holdsInAll(
          100,
          (world, number) -> {
            world.submitAfter(50);
            world.cancelAfter(number);
          });
    }
  }
}
