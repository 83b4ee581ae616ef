package org.cottontack.core.job;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** One pass over what waits: the most urgent job first, each task to the best worker. */
final class Placer {

  private final Term term;
  private final Placement placement;
  private final Urgency urgency;
  private final ShortRoom shortRoom = new ShortRoom();

  /** Tasks of which some worker runs what nobody wants; another run would be beside that one. */
  private Set<TaskName> runningUnwanted = Set.of();

  Placer(Term term, Placement placement, Urgency urgency) {
    this.term = term;
    this.placement = placement;
    this.urgency = urgency;
  }

  void place() {
    if (term.hungry.isEmpty() || !term.roomChanged) {
      return;
    }
    term.roomChanged = false;
    placement.begin(term.workers.values());
    shortRoom.begin(term.workers.values(), term.hungry, term.table, term.now.mono());
    runningUnwanted =
        term.workers.values().stream()
            .flatMap(worker -> worker.strays.keySet().stream())
            .map(RunKey::task)
            .collect(Collectors.toSet());
    NoRoom noRoom = new NoRoom();
    urgency.order(term.hungry, term.now.mono()).forEach(job -> placeJob(job, noRoom));
  }

  private void placeJob(Job job, NoRoom noRoom) {
    JobQueue queue = term.table.current(job.spec.queue());
    List<Task> ready = job.ready().toList();
    boolean all = true;
    Optional<StepId> refused = Optional.empty();
    for (Task task : ready) {
      if (refused.isPresent() && refused.get().equals(task.name.step())) {
        continue;
      }
      Optional<Worker> worker =
          runningUnwanted.contains(task.name) ? Optional.empty() : choose(task, queue, noRoom);
      if (worker.isPresent()) {
        placeTask(task, worker.get());
        shortRoom.placed(task, queue.pool());
        continue;
      }
      all = false;
      if (!heldBack(task)) {
        refused = Optional.of(task.name.step());
      }
    }
    if (all) {
      term.hungry.remove(job);
    }
    notePlaced(job, ready);
  }

  private Optional<Worker> choose(Task task, JobQueue queue, NoRoom noRoom) {
    boolean hopeless = noRoom.covers(task.spec, queue) && !placement.anywhere(task.job, queue);
    if (hopeless || !shortRoom.admits(task, queue.pool())) {
      return Optional.empty();
    }
    Optional<Worker> worker = placement.choose(task, queue, term.workers.values(), term.now.mono());
    if (worker.isEmpty() && !heldBack(task)) {
      noRoom.add(task.spec, queue);
    }
    return worker;
  }

  /** Returns whether a task waits for reasons of its own, which say nothing of its siblings. */
  private boolean heldBack(Task task) {
    return task.bound(term.now.mono()) || runningUnwanted.contains(task.name);
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
      term.note(
          "job.placed",
          job.spec.id(),
          "table=" + term.table.version() + " left=" + open + " " + where);
    }
  }

  private void placeTask(Task task, Worker worker) {
    task.place(worker.life(), term.now.mono());
    worker.add(task);
    term.dirty.add(task.job);
    if (task.job.phase == JobPhase.QUEUED) {
      task.job.phase = JobPhase.RUNNING;
    }
  }
}
