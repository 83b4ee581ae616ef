package org.cottontack.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Tests the allocation of ports to processes. */
public class FreePortsTest {

  /** Far more ports than one run of the tests allocates. */
  private static final int ALLOCATIONS = 2_000;

  /** Lowest port that the system assigns to outgoing connections. */
  private static final int FIRST_EPHEMERAL = 32_768;

  /** Ports returned by {@link FreePorts#next}. */
  public static class Allocation {

    @Test
    public void returnsNoPortTwice() {
      List<Integer> ports =
          IntStream.range(0, ALLOCATIONS).map(i -> FreePorts.next()).boxed().toList();
      Set<Integer> distinct = new HashSet<>(ports);
      assertEquals(distinct.size(), ALLOCATIONS);
    }

    @Test
    public void returnsNoEphemeralPort() {
      assertTrue(IntStream.range(0, 100).allMatch(i -> FreePorts.next() < FIRST_EPHEMERAL));
    }
  }
}
