package org.cottontack.core.admission;

import static org.testng.Assert.assertEquals;

import java.util.stream.LongStream;
import org.testng.annotations.Test;

/** Tests of the measured throughput. */
public class ThroughputMeterTest {

  private static final long START = -3_000;

  /** Finishes work of 100 each 100 ms. */
  private static ThroughputMeter busy(long fromMillis, long toMillis) {
    ThroughputMeter meter = new ThroughputMeter();
    LongStream.iterate(fromMillis, at -> at < toMillis, at -> at + 100)
        .forEach(at -> meter.record("pool", "queue", SizeClass.ABOVE, 100, at));
    return meter;
  }

  /** The periods of measurement. */
  public static class Periods {

    /** Guards against a measurement that is diluted by the time before places were short. */
    @Test
    public void beginWhereTheyShould() {
      ThroughputMeter meter = busy(START, START + 2_000);
      assertEquals(meter.perSecond("pool", "queue", START, START + 2_000), 1_000, 1);
      assertEquals(meter.perSecond("pool", "queue", START + 400, START + 2_000), 1_000, 1);
      assertEquals(meter.perSecond("pool", "queue", START + 2_000, START + 2_000), 0, 0);
    }

    /** Guards against a throughput of long ago that lets jobs in or keeps them out. */
    @Test
    public void endWithTheirLength() {
      ThroughputMeter meter = busy(0, 10_250);
      assertEquals(meter.perSecond("pool", "queue", START, 10_250), 1_000, 30);
      assertEquals(meter.perSecond("pool", "queue", START, 12_500), 500, 60);
      assertEquals(meter.perSecond("pool", "queue", START, 15_500), 0, 0);
      assertEquals(meter.served("pool", "queue", SizeClass.ABOVE, 15_500), 4_500, 300);
      assertEquals(meter.served("pool", "queue", SizeClass.UP_TO_HALF, 15_500), 0, 0);
      assertEquals(meter.served("pool", "queue", SizeClass.ABOVE, 40_000), 0, 0);
    }

    /** Guards against a queue or pool that is charged with the ends of another. */
    @Test
    public void areSeparateForPoolsAndQueues() {
      ThroughputMeter meter = busy(0, 2_000);
      assertEquals(meter.perSecond("pool", "other", START, 2_000), 0, 0);
      assertEquals(meter.perSecond("other", "queue", START, 2_000), 0, 0);
    }
  }
}
