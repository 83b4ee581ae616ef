package org.cottontack.core.job;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** One pass over what waits: the most urgent job first, each task to the best worker. */
final class PlacementPass {

  private final Term term;
  private final WorkerSelector workerSelector;
  private final Urgency urgency;
  private final ShortTaskReserve shortTaskReserve = new ShortTaskReserve();

  /** Tasks of which some worker runs what nobody wants; another run would be beside that one. */
  private Set<TaskName> runningUnwanted = Set.of();

  PlacementPass(Term term, WorkerSelector workerSelector, Urgency urgency) {
    this.term = term;
    this.workerSelector = workerSelector;
    this.urgency = urgency;
  }

  void place() {
    if (term.jobsToPlace.isEmpty() || !term.roomChanged) {
      return;
    }
    term.roomChanged = false;
    workerSelector.begin(term.workers.values());
    shortTaskReserve.begin(term.workers.values(), term.jobsToPlace, term.table, term.now.mono());
    runningUnwanted =
        term.workers.values().stream()
            .flatMap(worker -> worker.orphans.keySet().stream())
            .map(RunKey::task)
            .collect(Collectors.toSet());
    UnplaceableSteps unplaceableSteps = new UnplaceableSteps();
    urgency
        .order(term.jobsToPlace, term.now.mono())
        .forEach(job -> placeJob(job, unplaceableSteps));
  }

  private void placeJob(Job job, UnplaceableSteps unplaceableSteps) {
    JobQueue queue = term.table.current(job.spec.queue());
    List<Task> ready = job.ready().toList();
    boolean all = true;
    Optional<StepId> refused = Optional.empty();
    for (Task task : ready) {
      if (refused.isPresent() && refused.get().equals(task.name.step())) {
        continue;
      }
      Optional<Worker> worker =
          runningUnwanted.contains(task.name)
              ? Optional.empty()
              : choose(task, queue, unplaceableSteps);
      if (worker.isPresent()) {
        placeTask(task, worker.get());
        shortTaskReserve.placed(task, queue.pool());
        continue;
      }
      all = false;
      if (!heldBack(task)) {
        refused = Optional.of(task.name.step());
      }
    }
    if (all) {
      term.jobsToPlace.remove(job);
    }
    notePlaced(job, ready);
  }

  private Optional<Worker> choose(Task task, JobQueue queue, UnplaceableSteps unplaceableSteps) {
    boolean hopeless =
        unplaceableSteps.covers(task.spec, queue) && !workerSelector.anywhere(task.job, queue);
    if (hopeless || !shortTaskReserve.admits(task, queue.pool())) {
      return Optional.empty();
    }
    Optional<Worker> worker =
        workerSelector.choose(task, queue, term.workers.values(), term.now.mono());
    if (worker.isEmpty() && !heldBack(task)) {
      unplaceableSteps.add(task.spec, queue);
    }
    return worker;
  }

  /** Returns whether a task waits for reasons of its own, which say nothing of its siblings. */
  private boolean heldBack(Task task) {
    return task.pinned(term.now.mono()) || runningUnwanted.contains(task.name);
  }

  private void notePlaced(Job job, List<Task> ready) {
    List<Task> placed = ready.stream().filter(task -> task.phase == Task.Phase.PLACED).toList();
    if (!placed.isEmpty()) {
      String where =
          placed.stream()
              .map(
                  t ->
                      t.name.step().step()
                          + "."
                          + t.name.index()
                          + "#"
                          + t.run
                          + "@"
                          + t.worker.worker())
              .collect(Collectors.joining(" "));
      int open = ready.size() - placed.size();
      term.logEvent(
          "job.placed",
          job.spec.id(),
          "table=" + term.table.version() + " left=" + open + " " + where);
    }
  }

  private void placeTask(Task task, Worker worker) {
    task.place(worker.incarnation(), term.now.mono());
    worker.add(task);
    term.dirty.add(task.job);
    if (task.job.phase == JobPhase.QUEUED) {
      task.job.phase = JobPhase.RUNNING;
    }
  }
}
