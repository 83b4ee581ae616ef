package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.RecoveryFacts;
import org.cottontack.core.job.RunKey;
import org.cottontack.core.job.StartExpiry;
import org.cottontack.core.job.StepId;
import org.cottontack.core.job.StoreLimits;
import org.cottontack.core.job.StoredProgress;
import org.cottontack.core.job.TaskName;
import org.cottontack.core.job.WorkerIncarnation;
import org.testng.annotations.Test;

/** Tests of the text of the row with the ends of leases. */
public class LeaseEndsTextTest {

  private static final int MAX_BYTES = StoreLimits.STANDARD.sharedRowBytes();

  private static final WorkerIncarnation WORKER =
      new WorkerIncarnation(new WorkerId("i-1 of\n2"), 1_700_000_000_000L);

  private static LeaseEndsText of(Map<WorkerIncarnation, Long> ends) {
    return new LeaseEndsText(7, new RecoveryFacts(ends, Map.of(), OptionalLong.empty()));
  }

  private static LeaseEndsText withStarts(int count) {
    Map<RunKey, StartExpiry> starts =
        IntStream.range(0, count)
            .boxed()
            .collect(
                Collectors.toMap(
                    number ->
                        new RunKey(
                            new TaskName(new StepId(new JobId("j /%" + number), 4, 1), number), 2),
                    number -> new StartExpiry(8_500L + number, 12_000L + number)));
    return new LeaseEndsText(
        7, new RecoveryFacts(Map.of(WORKER, 9_000L), starts, OptionalLong.of(77)));
  }

  /** Texts written by this version. */
  public static class Own {

    @Test
    public void readsWhatItWrites() {
      WorkerIncarnation other = WorkerIncarnation.withUniqueIdentifier(new WorkerId("i-3"));
      LeaseEndsText text = of(Map.of(WORKER, 9_000L, other, 12_345L));
      assertEquals(LeaseEndsText.parse(text.text(MAX_BYTES)), text);
      LeaseEndsText all = withStarts(3);
      assertEquals(LeaseEndsText.parse(all.text(MAX_BYTES)), all);
      LeaseEndsText empty = of(Map.of());
      assertEquals(LeaseEndsText.parse(empty.text(MAX_BYTES)), empty);
    }

    /** Guards against a row that the store refuses, so that no progress is stored any more. */
    @Test
    public void leavesOutEndsThatDoNotFit() {
      Map<WorkerIncarnation, Long> ends =
          IntStream.range(0, 5_000)
              .boxed()
              .collect(
                  Collectors.toMap(
                      number -> WorkerIncarnation.withUniqueIdentifier(new WorkerId("i-" + number)),
                      number -> 9_000L));
      String text = of(ends).text(MAX_BYTES);
      assertTrue(text.length() <= MAX_BYTES);
      Map<WorkerIncarnation, Long> read = LeaseEndsText.parse(text).facts().leaseEnds();
      assertTrue(read.size() > 1_000 && ends.entrySet().containsAll(read.entrySet()));
    }

    /** Guards against a long row without the one line that makes the next leader wait longer. */
    @Test
    public void leavesOutStartsBeforeTheIgnoredOne() {
      LeaseEndsText all = withStarts(5_000);
      String text = all.text(MAX_BYTES);
      assertTrue(text.length() <= MAX_BYTES);
      RecoveryFacts read = LeaseEndsText.parse(text).facts();
      assertEquals(read.ignoredStart(), all.facts().ignoredStart());
      assertEquals(read.leaseEnds(), all.facts().leaseEnds());
      assertTrue(
          read.starts().size() > 500
              && all.facts().starts().entrySet().containsAll(read.starts().entrySet()));
    }

    /** Guards against an older version that takes the row for the progress of a job. */
    @Test
    public void isNoProgressOfAnyJob() {
      assertEquals(StoredProgress.of(of(Map.of()).text(MAX_BYTES)).readable(), false);
      assertEquals(StoredProgress.of(of(Map.of(WORKER, 9_000L)).text(MAX_BYTES)).readable(), false);
      assertEquals(StoredProgress.of(withStarts(3).text(MAX_BYTES)).readable(), false);
    }
  }

  /** Texts of other versions. */
  public static class Foreign {

    /** The only lines that versions without starts read. */
    private static final Pattern OLDER =
        Pattern.compile("((?:[\\w.*+-]|%[0-9A-F]{2})+) (\\d{1,15}) (\\d{1,15})");

    /** Guards against a start that an older version takes for the end of a worker's leases. */
    @Test
    public void readOnlyLeaseEndsInOlderVersions() {
      List<String> read =
          withStarts(3)
              .text(MAX_BYTES)
              .lines()
              .skip(1)
              .filter(line -> OLDER.matcher(line).matches())
              .toList();
      assertEquals(read, List.of("i-1+of%0A2 1700000000000 9000"));
    }

    @Test
    public void readsNoStartsFromAnotherForm() {
      assertEquals(LeaseEndsText.parse("7\nstart a 0 1 2 3 4").facts(), RecoveryFacts.NONE);
      assertEquals(LeaseEndsText.parse("7\nstart a 0 1 2 3 4 -5").facts(), RecoveryFacts.NONE);
      assertEquals(LeaseEndsText.parse("7\nstart %zz 0 1 2 3 4 5").facts(), RecoveryFacts.NONE);
      assertEquals(LeaseEndsText.parse("7\nignored x\nignored").facts(), RecoveryFacts.NONE);
    }

    @Test
    public void readsNoEndsFromAnotherForm() {
      assertEquals(LeaseEndsText.parse("").facts(), RecoveryFacts.NONE);
      assertEquals(LeaseEndsText.parse("v2 7\ni-3 0 5").facts(), RecoveryFacts.NONE);
      assertEquals(
          LeaseEndsText.parse("7\ni-3 0 5 more\ni-3 0\ni-3 0 -5").facts(), RecoveryFacts.NONE);
      assertEquals(LeaseEndsText.parse("7\n%zz 0 5").facts(), RecoveryFacts.NONE);
    }
  }
}
