package org.cottontack.core.job;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.Test;

/** Tests of which data centres a leader counts as on its side of a partition. */
public class PartitionDetectorTest {

  private static final DataCentreId THERE = new DataCentreId("there");

  private static List<Worker> workers(String dataCentre, int heard, int silent, int unheard) {
    return IntStream.range(0, heard + silent + unheard)
        .mapToObj(
            number -> {
              Worker worker = worker(dataCentre, number);
              worker.everAnswered = number < heard + silent;
              worker.silent = number >= heard && number < heard + silent;
              return worker;
            })
        .toList();
  }

  private static Worker worker(String dataCentre, int number) {
    WorkerIncarnation life =
        WorkerIncarnation.withUniqueIdentifier(new WorkerId(dataCentre + number));
    DataCentreId place = new DataCentreId(dataCentre);
    Resources room = new Resources(1_000, 1_000, 0);
    Worker worker =
        new Worker(
            new WorkerInfo(life, "pool", "w:1", place, room, List.of(), false),
            new Evacuations(),
            0,
            0,
            new Acknowledgements(),
            new LateLeases());
    worker.registered = true;
    return worker;
  }

  private static boolean reaches(List<Worker> there) {
    List<Worker> here = workers("here", 5, 0, 0);
    return PartitionDetector.reaches(Stream.concat(here.stream(), there.stream()).toList(), THERE);
  }

  /** Data centres beside the leader's own. */
  public static class Others {

    /**
     * A data centre is cut off. Its instances may reach the store and ask for the lead; the leader,
     * whom none or few of the workers there answer, keeps it.
     */
    @Test
    public void doesNotReachWhereMostAreSilent() {
      assertFalse(reaches(workers("there", 1, 4, 0)));
      assertTrue(reaches(workers("there", 4, 1, 0)));
    }

    /** A new leader has asked and has no answers yet: it cannot tell who is cut off. */
    @Test
    public void doesNotReachWhomItHasNotHeard() {
      assertFalse(reaches(workers("there", 0, 0, 5)));
    }

    /** Instances may live where no worker is. */
    @Test
    public void reachesWhereThereIsNobody() {
      assertTrue(reaches(List.of()));
    }
  }
}
