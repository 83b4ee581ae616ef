package org.cottontack.core.job;

import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** What has to hold in a lab at every moment, whatever goes wrong there. */
final class SimulationInvariants {

  private final JobSimulation simulation;

  SimulationInvariants(JobSimulation simulation) {
    this.simulation = simulation;
  }

  /** No task runs twice at a time or after its acknowledged end, and no worker holds too much. */
  void checkRuns() {
    Set<TaskName> done =
        simulation
            .incarnations()
            .flatMap(worker -> worker.acknowledgedDone.stream())
            .collect(Collectors.toSet());
    Map<TaskName, Long> running =
        simulation.workers.values().stream()
            .flatMap(worker -> worker.runs().stream())
            .collect(Collectors.groupingBy(RunKey::task, Collectors.counting()));
    running.forEach(
        (task, runs) -> {
          if (runs > 1) {
            throw violation(task + " runs " + runs + " times");
          }
          if (done.contains(task) && !isLongRunning(task)) {
            throw violation(task + " runs after its acknowledged end");
          }
        });
    for (SimulatedWorker worker : simulation.workers.values()) {
      if (!worker.info.capacity().holds(worker.used())) {
        throw violation(worker.info.id() + " holds too much");
      }
    }
  }

  /** A start leaves after its placement is stored, and not to an evacuated data centre. */
  void checkStart(JobEffect.StartRun start) {
    StepId step = start.run().task().step();
    String line =
        "%d %d %d p %d "
            .formatted(
                step.occurrence(), step.step(), start.run().task().index(), start.run().run());
    String progress = simulation.stored.getOrDefault(step.job(), "");
    if (progress.lines().noneMatch(stored -> stored.startsWith(line))) {
      throw violation(start.run() + " starts before it is stored");
    }
    SimulatedWorker worker = simulation.workers.get(start.target().incarnation().worker());
    if (simulation.evacuated.contains(worker.info.dataCentre())) {
      throw violation(start.run() + " goes to an evacuated data centre");
    }
  }

  /** A run that is taken for undone was not done by the life that was asked. */
  void checkMissing(JobEffect.Note note) {
    boolean undone = note.name().equals("run.missing") && !note.detail().endsWith("maybeDone");
    simulation.workers.values().stream()
        .filter(there -> undone && note.detail().startsWith(there.info.id() + " "))
        .flatMap(there -> there.done.stream())
        .filter(run -> run.toString().equals(note.subject()) && !isLongRunning(run.task()))
        .findAny()
        .ifPresent(
            run -> {
              throw violation(run + " was done and is taken for undone");
            });
  }

  private boolean isLongRunning(TaskName task) {
    StepId step = task.step();
    return simulation.specs.get(step.job()).steps().get(step.step()).is(StepSpec.Trait.LASTS);
  }

  private AssertionError violation(String what) {
    return new AssertionError(what + " at " + simulation.now);
  }
}
