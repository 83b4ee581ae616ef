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

/** Tests of how old news may be when work starts. */
public class StartGateTest {

  /** Time after which nothing may begin against each kind of news, in milliseconds. */
  private static final Map<FreshnessLimit, Long> BOUNDS =
      Map.of(
          FreshnessLimit.CANCELLATIONS,
          3_000L,
          FreshnessLimit.EVACUATIONS,
          5_000L,
          FreshnessLimit.WORKERS,
          2_000L);

  private static final class Lab {
    final VirtualTimers time = new VirtualTimers();
    final VirtualTimers.View process = time.process();
    final Map<FreshnessLimit, Moment> asked = new EnumMap<>(FreshnessLimit.class);
    final StartGate gate;

    Lab() {
      Map<FreshnessLimit, Supplier<Moment>> sources = new EnumMap<>(FreshnessLimit.class);
      for (FreshnessLimit news : FreshnessLimit.values()) {
        asked.put(news, process.now());
        sources.put(news, () -> asked.get(news));
      }
      gate = new StartGate(process, sources);
    }

    /** Lets time pass in which all other news is told. */
    void age(FreshnessLimit old, long millis) {
      time.run(millis);
      asked.replaceAll((news, moment) -> news == old ? moment : process.now());
    }
  }

  /** All kinds of news. */
  @DataProvider
  public static Object[][] kinds() {
    return new Object[][] {
      {FreshnessLimit.CANCELLATIONS}, {FreshnessLimit.EVACUATIONS}, {FreshnessLimit.WORKERS}
    };
  }

  /** Each kind of news by itself. */
  public static class Aging {

    /** Guards against a start that leaves though one kind of news is as old as its bound. */
    @Test(dataProvider = "kinds", dataProviderClass = StartGateTest.class)
    public void closesBeforeTheBound(FreshnessLimit news) {
      Lab lab = new Lab();
      lab.age(news, 500);
      assertTrue(lab.gate.open());
      assertTrue(lab.gate.closesMillis() - lab.asked.get(news).mono() < BOUNDS.get(news));
      lab.age(news, BOUNDS.get(news) - 700);
      assertFalse(lab.gate.open() && lab.gate.ageMillis(news) + 200 > BOUNDS.get(news));
      lab.age(news, 200);
      assertFalse(lab.gate.open());
    }

    /** Guards against news that counts as new after the process was suspended. */
    @Test(dataProvider = "kinds", dataProviderClass = StartGateTest.class)
    public void countsTimeAsleep(FreshnessLimit news) {
      Lab lab = new Lab();
      Moment now = lab.process.now();
      lab.asked.put(news, new Moment(now.mono(), now.wall() - BOUNDS.get(news)));
      assertFalse(lab.gate.open());
      assertEquals(lab.gate.ageMillis(news), (long) BOUNDS.get(news));
    }
  }
}
