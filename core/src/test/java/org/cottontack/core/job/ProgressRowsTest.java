package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the rows into which the progress of a job is divided. */
public class ProgressRowsTest {

  private static final JobId ID = new JobId("a");
  private static final WorkerIncarnation WORKER =
      WorkerIncarnation.withUniqueIdentifier(new WorkerId("i-7f3a91c3"));

  /** A job whose rows are stored as a leader does it. */
  private static final class Rows {

    final JobSpec spec;
    final Job job;
    final StoredRows stored = new StoredRows();

    Rows(int repeats, int... counts) {
      List<StepSpec> steps =
          IntStream.of(counts).mapToObj(count -> TestStep.tasks(count).of()).toList();
      JobSpec.Schedule schedule = new JobSpec.Schedule(0, 0, repeats);
      spec = new JobSpec(ID, JobFixtures.QUEUE, "payload", steps, schedule);
      job = new Job(spec, 0);
      job.advance(0);
      job.phase = JobPhase.RUNNING;
    }

    List<Task> tasks() {
      return job.tasks().toList();
    }

    /** Stores the changed rows and returns their size, in bytes. */
    long save() {
      ProgressRows.Change change = job.rows.change(job, StoreLimits.STANDARD);
      change.writes().forEach(stored::put);
      job.rows.stored(change);
      job.rows.takeLeftOver().forEach(stored::remove);
      return change.writes().values().stream().mapToLong(ProgressText::bytes).sum();
    }

    Job restored() {
      Job next = new Job(spec, 0);
      next.advance(0);
      ProgressText.restore(next, stored.get(ID));
      return next;
    }

    void place(Task task) {
      task.place(WORKER, 0);
      task.checkpoint = "00000bb87a21d94b";
    }

    void end(Task task) {
      task.release();
      task.phase = Task.Phase.DONE;
    }
  }

  private static List<String> phases(Job job) {
    return job.tasks().map(task -> task.name + " " + task.phase).toList();
  }

  /** Rows that the next leader reads. */
  public static class Restored {

    /** Numbers of repetitions and tasks of each of two steps. */
    @DataProvider
    public Object[][] sizes() {
      return new Object[][] {{0, 5}, {0, 400}, {3, 400}, {8, 90}, {0, 5_000}};
    }

    /** Guards against tasks that the next leader finds in another phase than they were stored. */
    @Test(dataProvider = "sizes")
    public void haveAllTasksInTheirPhases(int repeats, int count) {
      Random random = new Random(7);
      Rows rows = new Rows(repeats, count, count);
      for (int i = 0; i < 40; i++) {
        for (Task task : rows.tasks()) {
          if (task.phase == Task.Phase.WAITING && random.nextInt(20) == 0) {
            rows.place(task);
          } else if (task.phase == Task.Phase.PLACED && random.nextInt(8) == 0) {
            rows.end(task);
          } else if (task.phase == Task.Phase.PLACED && random.nextInt(30) == 0) {
            task.release();
          }
        }
        rows.save();
        assertTrue(rows.stored.get(ID).readable());
        assertEquals(phases(rows.restored()), phases(rows.job));
      }
    }

    /** Guards against occurrences that run again, or never, once earlier ones were dropped. */
    @Test
    public void haveOpenOccurrencesOfLargeSchedules() {
      Random random = new Random(11);
      Rows rows = new Rows(3_000, 2, 1);
      for (int i = 0; i < 300; i++) {
        for (Task task : rows.tasks()) {
          if (task.phase == Task.Phase.WAITING && random.nextInt(10) == 0) {
            rows.place(task);
          } else if (task.phase == Task.Phase.PLACED && random.nextInt(4) == 0) {
            rows.end(task);
          }
        }
        rows.job.advance(0);
        rows.save();
        Job restored = rows.restored();
        restored.advance(0);
        assertEquals(phases(restored), phases(rows.job));
        assertEquals(restored.openedTasks(), rows.job.openedTasks());
        assertTrue(rows.stored.largest() <= ProgressRows.MAIN_BYTES);
      }
      assertTrue(rows.job.openedTasks() > 3_000);
    }

    /** Guards against the first task, or the last, that is missing in a range of done tasks. */
    @Test
    public void haveTheEndsOfEachRange() {
      Rows rows = new Rows(0, 2_000);
      rows.tasks().forEach(rows::place);
      rows.save();
      rows.tasks().forEach(rows::end);
      rows.save();
      assertEquals(phases(rows.restored()), phases(rows.job));
    }

    /** Guards against attempts, checkpoints and crashes of open tasks that are lost with a row. */
    @Test
    public void haveWhatOpenTasksNeed() {
      Rows rows = new Rows(0, 2_000);
      rows.tasks().forEach(rows::place);
      Task task = rows.tasks().get(1_000);
      task.failures = 1;
      task.crashes = 3;
      task.blamed = 1;
      rows.save();
      Task restored = rows.restored().tasks().toList().get(1_000);
      assertEquals(
          List.of(restored.failures, restored.crashes, restored.blamed, restored.checkpoint),
          List.of(1, 3, 1, "00000bb87a21d94b"));
      assertEquals(restored.worker, WORKER);
    }

    /** Guards against a state of two saves that is read where one row is missing. */
    @Test
    public void areUnreadableWhereOneIsMissing() {
      Rows rows = new Rows(0, 2_000);
      rows.tasks().forEach(rows::place);
      rows.save();
      StoredProgress all = rows.stored.get(ID);
      Map<Integer, String> most =
          all.parts().entrySet().stream()
              .skip(1)
              .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
      assertTrue(all.readable());
      assertFalse(new StoredProgress(all.main(), most).readable());
    }

    /** Ranges of done tasks that no leader writes. */
    @DataProvider
    public Object[][] ranges() {
      return new Object[][] {{"d 5"}, {"d 9 3"}, {"d -2 3"}, {"d 0 9999999999"}, {"d a b"}};
    }

    /** Guards against a damaged range that ends the takeover of all jobs. */
    @Test(dataProvider = "ranges")
    public void areUnreadableWhereDamaged(String range) {
      assertTrue(new StoredProgress("r\nparts 1", Map.of(1, "from 0\nd 0 3")).readable());
      assertFalse(new StoredProgress("r\nparts 1", Map.of(1, "from 0\n" + range)).readable());
    }

    /** Guards against an earlier version that takes the listed rows for tasks or for none. */
    @Test
    public void areMarkedForEarlierVersions() {
      for (int parts = 1; parts < 12; parts++) {
        List<Integer> numbers = IntStream.range(0, parts).map(i -> 2 * i + 1).boxed().toList();
        Job job = new Job(JobFixtures.job("job", TestStep.tasks(1).of()), 0);
        String line = ProgressText.main(job, numbers).lines().toList().get(1);
        assertEquals(line.split(" ", -1).length, 2);
      }
    }
  }

  /** Sizes of rows and of what is written. */
  public static class Sizes {

    /** Guards against rows that grow with the number of tasks. */
    @Test
    public void areBounded() {
      Rows rows = new Rows(0, 10_000);
      rows.tasks().forEach(rows::place);
      rows.save();
      assertTrue(rows.stored.largest() <= ProgressRows.MAIN_BYTES);
      rows.tasks().forEach(rows::end);
      rows.save();
      assertTrue(rows.stored.largest() <= ProgressRows.MAIN_BYTES);
    }

    /** Guards against a job whose rows are all written again with each task that ends. */
    @Test
    public void ofOneChangeDoNotGrowWithTheJob() {
      Rows rows = new Rows(0, 10_000);
      rows.tasks().forEach(rows::place);
      rows.save();
      long most = 0;
      for (Task task : rows.tasks().subList(0, 500)) {
        rows.end(task);
        most = Math.max(most, rows.save());
      }
      assertTrue(most <= 2 * ProgressRows.PART_BYTES, "bytes: " + most);
    }

    /** Guards against rows of done tasks that stay for the rest of a long job. */
    @Test
    public void shrinkWithTheTasksThatAreDone() {
      Rows rows = new Rows(0, 10_000);
      rows.tasks().forEach(rows::place);
      rows.save();
      assertTrue(rows.stored.parts(ID) > 50);
      rows.tasks().subList(0, 9_990).forEach(rows::end);
      rows.save();
      rows.save();
      assertTrue(rows.stored.parts(ID) <= 2, "rows: " + rows.stored.parts(ID));
    }
  }
}
