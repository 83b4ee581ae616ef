package org.cottontack.core.job;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** One pass over what waits: the most urgent job first, each task to the best worker. */
final class Placer {

  private final Term term;
  private final Placement placement;
  private final Urgency urgency;

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
    NoRoom noRoom = new NoRoom();
    placement.begin(term.workers.values());
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
          noRoom.covers(task.spec, queue) && !placement.anywhere(job, queue)
              ? Optional.empty()
              : placement.choose(task, queue, term.workers.values(), term.now.mono());
      if (worker.isPresent()) {
        placeTask(task, worker.get());
      } else {
        noRoom.add(task.spec, queue);
        refused = Optional.of(task.name.step());
        all = false;
      }
    }
    if (all) {
      term.hungry.remove(job);
    }
    notePlaced(job, ready);
  }

  private void notePlaced(Job job, List<Task> ready) {
    List<Task> placed = ready.stream().filter(task -> task.phase == Task.Phase.PLACED).toList();
    if (!placed.isEmpty()) {
      String where =
          placed.stream()
              .map(t -> t.name.step().step() + "." + t.name.index() + "#" + t.run + "@" + t.worker)
              .collect(Collectors.joining(" "));
      int open = ready.size() - placed.size();
      term.note(
          "job.placed",
          job.spec.id(),
          "table=" + term.table.version() + " left=" + open + " " + where);
    }
  }

  private void placeTask(Task task, Worker worker) {
    task.place(worker.info.id(), term.now.mono());
    worker.add(task);
    term.dirty.add(task.job);
    if (task.job.phase == JobPhase.QUEUED) {
      task.job.phase = JobPhase.RUNNING;
    }
  }
}
