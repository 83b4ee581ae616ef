package org.cottontack.core.job;

import java.util.List;
import java.util.Optional;

/** Builds job steps for tests: by default one task of one core and half a second. */
final class TestStep {

  private int count = 1;
  private long cpuMillis = 1_000;
  private long estimateMillis = 500;
  private List<Integer> after = List.of();
  private int maxPerWorker;
  private String image = "";
  private double targetMillis;

  static TestStep tasks(int count) {
    TestStep step = new TestStep();
    step.count = count;
    return step;
  }

  TestStep cpu(long millis) {
    cpuMillis = millis;
    return this;
  }

  TestStep estimate(long millis) {
    estimateMillis = millis;
    return this;
  }

  TestStep after(List<Integer> steps) {
    after = steps;
    return this;
  }

  TestStep apart(int max) {
    maxPerWorker = max;
    return this;
  }

  TestStep image(String name) {
    image = name;
    return this;
  }

  TestStep target(double millis) {
    targetMillis = millis;
    return this;
  }

  StepSpec of(StepSpec.Trait... traits) {
    return new StepSpec(
        count,
        new Resources(cpuMillis, 100, 0),
        estimateMillis,
        after,
        List.of(traits),
        Optional.empty(),
        Optional.empty(),
        maxPerWorker,
        image,
        targetMillis,
        0);
  }
}
