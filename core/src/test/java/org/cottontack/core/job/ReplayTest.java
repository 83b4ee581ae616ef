package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Tests of the replays themselves: whether their outcomes are reproducible and useful as a measure.
 */
public class ReplayTest {

  private static final ReplayShape SMALL =
      ReplayShape.usual()
          .with(new ReplayShape.Troubles(2, 1, 0.1, 0.1, 3_000, 500, 0))
          .small(12, 8_000)
          .seeded(7);

  /** Runs a replay in a process of its own. */
  public static final class Child {

    private Child() {}

    /** Prints the outcome. */
    public static void main(String[] args) {
      System.out.println(new Replay(SMALL, ReplayPolicy.STANDING).run());
    }
  }

  /** Several runs with one seed. */
  public static class Repeating {

    private static String runInChild() throws IOException, InterruptedException {
      Path java = Path.of(System.getProperty("java.home"), "bin", "java");
      Process child =
          new ProcessBuilder(
                  java.toString(),
                  "-cp",
                  System.getProperty("java.class.path"),
                  Child.class.getName())
              .redirectError(ProcessBuilder.Redirect.INHERIT)
              .start();
      String out = new String(child.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertEquals(child.waitFor(), 0);
      return out;
    }

    /** Guards against decisions that depend on the order of an unordered collection. */
    @Test
    public void givesOneOutcomeInAnyProcess() throws Exception {
      String first = runInChild();
      assertTrue(first.startsWith("serving"), first);
      assertEquals(List.of(runInChild(), runInChild(), runInChild()), List.of(first, first, first));
    }
  }

  /** A replay without any part of load control. */
  public static class PartsOff {

    /**
     * Guards against load control that changes decisions while it is off. The outcome is that of
     * the version before load control; a change of decisions that is meant records it anew.
     */
    @Test
    public void givesTheOutcomeOfTheVersionBefore() {
      ReplayShape shape = ReplayShape.contended().small(16, 14_000).seeded(3);
      assertEquals(
          new Replay(shape, ReplayPolicy.STANDING).run().toString(),
          "serving 0.855 fills 0.667 1.000 shorts 0.936 1.000 unserved 0.0000 over 1.3 moves 19"
              + " paces 195 wasted 0.000");
    }
  }

  /** Policies whose order is known. */
  public static class KnownOrder {

    private static final int SEEDS = 2;

    private static ReplayOutcome mean(ReplayPolicy policy) {
      ReplayShape shape = ReplayShape.usual().sharing(0.8, 0.6).small(18, 16_000);
      return ReplayOutcome.mean(Replay.all(shape, policy, SEEDS));
    }

    /** Guards against a measure that cannot distinguish a good policy from a bad one. */
    @Test
    public void ranksKnownPolicies() {
      ReplayOutcome oracle = mean(ReplayPolicy.ORACLE);
      ReplayOutcome all = mean(ReplayPolicy.FILL_EVERYTHING);
      ReplayOutcome none = mean(ReplayPolicy.FILL_NOTHING);
      assertTrue(oracle.serving() > 0.95, oracle.toString());
      assertTrue(all.serving() < oracle.serving() - 0.2, all.toString());
      assertTrue(none.bestEffort() < oracle.bestEffort() - 0.2, none.toString());
    }
  }
}
