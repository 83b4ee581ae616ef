package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Supplier;
import org.cottontack.core.Moment;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of how old updates may be when work starts. */
public class StartGateTest {

  /** Time after which nothing may begin that contradicts an update, in milliseconds. */
  private static final Map<FreshnessLimit, Long> BOUNDS =
      Map.of(
          FreshnessLimit.CANCELLATIONS,
          3_000L,
          FreshnessLimit.EVACUATIONS,
          5_000L,
          FreshnessLimit.WORKERS,
          2_000L);

  private static final class Simulation {
    final VirtualTimers time = new VirtualTimers();
    final VirtualTimers.View process = time.process();
    final Map<FreshnessLimit, Moment> requestTimes = new EnumMap<>(FreshnessLimit.class);
    final StartGate gate;

    Simulation() {
      Map<FreshnessLimit, Supplier<Moment>> sources = new EnumMap<>(FreshnessLimit.class);
      for (FreshnessLimit limit : FreshnessLimit.values()) {
        requestTimes.put(limit, process.now());
        sources.put(limit, () -> requestTimes.get(limit));
      }
      gate = new StartGate(process, sources);
    }

    /** Advances the time and then refreshes all kinds of updates except the stale one. */
    void age(FreshnessLimit stale, long millis) {
      time.run(millis);
      requestTimes.replaceAll((limit, moment) -> limit == stale ? moment : process.now());
    }
  }

  /** All kinds of updates. */
  @DataProvider
  public static Object[][] kinds() {
    return new Object[][] {
      {FreshnessLimit.CANCELLATIONS}, {FreshnessLimit.EVACUATIONS}, {FreshnessLimit.WORKERS}
    };
  }

  /** Each kind of update by itself. */
  public static class Aging {

    /** Guards against sending a start although one kind of update is as old as its limit. */
    @Test(dataProvider = "kinds", dataProviderClass = StartGateTest.class)
    public void closesBeforeTheBound(FreshnessLimit limit) {
      Simulation simulation = new Simulation();
      simulation.age(limit, 500);
      assertTrue(simulation.gate.open());
      assertTrue(
          simulation.gate.startDeadlineMillis() - simulation.requestTimes.get(limit).mono()
              < BOUNDS.get(limit));
      simulation.age(limit, BOUNDS.get(limit) - 700);
      assertFalse(
          simulation.gate.open() && simulation.gate.ageMillis(limit) + 200 > BOUNDS.get(limit));
      simulation.age(limit, 200);
      assertFalse(simulation.gate.open());
    }

    /** Guards against updates that count as fresh after the process was suspended. */
    @Test(dataProvider = "kinds", dataProviderClass = StartGateTest.class)
    public void countsSuspendedTime(FreshnessLimit limit) {
      Simulation simulation = new Simulation();
      Moment now = simulation.process.now();
      simulation.requestTimes.put(limit, new Moment(now.mono(), now.wall() - BOUNDS.get(limit)));
      assertFalse(simulation.gate.open());
      assertEquals(simulation.gate.ageMillis(limit), (long) BOUNDS.get(limit));
    }
  }
}
