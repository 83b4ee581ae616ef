package org.cottontack.core.job;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.Test;

/** Tests of which data centres a leader considers to be on its side of a partition. */
public class PartitionDetectorTest {

  private static final DataCentreId OTHER_DATA_CENTRE = new DataCentreId("there");

  private static List<Worker> workers(
      String dataCentre, int answering, int silent, int notYetAnswered) {
    return IntStream.range(0, answering + silent + notYetAnswered)
        .mapToObj(
            number -> {
              Worker worker = worker(dataCentre, number);
              worker.everAnswered = number < answering + silent;
              worker.silent = number >= answering && number < answering + silent;
              return worker;
            })
        .toList();
  }

  private static Worker worker(String dataCentre, int number) {
    WorkerIncarnation incarnation =
        WorkerIncarnation.withUniqueIdentifier(new WorkerId(dataCentre + number));
    DataCentreId dataCentreId = new DataCentreId(dataCentre);
    Resources capacity = new Resources(1_000, 1_000, 0);
    Worker worker =
        new Worker(
            new WorkerInfo(incarnation, "pool", "w:1", dataCentreId, capacity, List.of(), false),
            new Evacuations(),
            new StoredLeaseEnds(),
            0,
            0,
            new Acknowledgements(),
            new LateLeases());
    worker.registered = true;
    return worker;
  }

  private static boolean reaches(List<Worker> others) {
    List<Worker> local = workers("here", 5, 0, 0);
    return PartitionDetector.reaches(
        Stream.concat(local.stream(), others.stream()).toList(), OTHER_DATA_CENTRE);
  }

  /** Data centres other than the leader's. */
  public static class OtherDataCentres {

    /**
     * A data centre is cut off. Its instances may reach the store and request leadership. The
     * leader gets no answers, or few, from the workers there and keeps its leadership.
     */
    @Test
    public void doesNotReachDataCentreWithMostlySilentWorkers() {
      assertFalse(reaches(workers("there", 1, 4, 0)));
      assertTrue(reaches(workers("there", 4, 1, 0)));
    }

    /**
     * A new leader has polled the workers and has no answers yet, so it cannot know which data
     * centre is cut off.
     */
    @Test
    public void doesNotReachWorkersThatHaveNotAnsweredYet() {
      assertFalse(reaches(workers("there", 0, 0, 5)));
    }

    /** A data centre may have instances but no workers. */
    @Test
    public void reachesDataCentreWithoutWorkers() {
      assertTrue(reaches(List.of()));
    }
  }
}
