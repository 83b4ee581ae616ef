package org.cottontack.core.task;

import java.util.stream.Stream;
import org.cottontack.core.id.TaskId;
import org.cottontack.core.id.WorkerId;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * The tasks that this process is responsible for.
 *
 * @param tasks tasks by identifier
 * @param byWorker tasks that occupy capacity of each worker
 * @param loaded workers whose tasks were read from the store since they became owned
 * @param toForget ended attempts that workers may forget, by worker
 * @param orphans attempts that workers report and no known record allows, by worker; nothing is
 *     placed on a worker that has any, because they occupy capacity
 * @param nextBucket the bucket to read next
 */
public record TaskState(
    PMap<TaskId, TaskView> tasks,
    PMap<WorkerId, PSet<TaskId>> byWorker,
    PSet<WorkerId> loaded,
    PMap<WorkerId, PSet<Run>> toForget,
    PMap<WorkerId, PSet<Run>> orphans,
    int nextBucket) {

  /** A state without tasks. */
  public static final TaskState EMPTY =
      new TaskState(
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          HashTreePSet.empty(),
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          0);

  /** Returns the tasks that occupy capacity of a worker. */
  public Stream<TaskView> on(WorkerId worker) {
    return byWorker.getOrDefault(worker, HashTreePSet.empty()).stream().map(tasks::get);
  }

  PSet<Run> toForget(WorkerId worker) {
    return toForget.getOrDefault(worker, HashTreePSet.empty());
  }

  PSet<Run> orphans(WorkerId worker) {
    return orphans.getOrDefault(worker, HashTreePSet.empty());
  }

  TaskState put(TaskView view) {
    TaskState without = unindex(view.record().id());
    WorkerId worker = view.occupies();
    PMap<WorkerId, PSet<TaskId>> index =
        worker == null
            ? without.byWorker
            : without.byWorker.plus(
                worker,
                without
                    .byWorker
                    .getOrDefault(worker, HashTreePSet.empty())
                    .plus(view.record().id()));
    return new TaskState(
        tasks.plus(view.record().id(), view), index, loaded, toForget, orphans, nextBucket);
  }

  TaskState remove(TaskId id) {
    TaskState without = unindex(id);
    return new TaskState(tasks.minus(id), without.byWorker, loaded, toForget, orphans, nextBucket);
  }

  private TaskState unindex(TaskId id) {
    TaskView known = tasks.get(id);
    WorkerId worker = known == null ? null : known.occupies();
    if (worker == null) {
      return this;
    }
    PSet<TaskId> left = byWorker.getOrDefault(worker, HashTreePSet.empty()).minus(id);
    PMap<WorkerId, PSet<TaskId>> index =
        left.isEmpty() ? byWorker.minus(worker) : byWorker.plus(worker, left);
    return new TaskState(tasks, index, loaded, toForget, orphans, nextBucket);
  }

  TaskState withLoaded(PSet<WorkerId> workers) {
    return new TaskState(tasks, byWorker, workers, toForget, orphans, nextBucket);
  }

  TaskState withToForget(WorkerId worker, PSet<Run> runs) {
    PMap<WorkerId, PSet<Run>> next =
        runs.isEmpty() ? toForget.minus(worker) : toForget.plus(worker, runs);
    return new TaskState(tasks, byWorker, loaded, next, orphans, nextBucket);
  }

  TaskState withOrphans(WorkerId worker, PSet<Run> runs) {
    PMap<WorkerId, PSet<Run>> next =
        runs.isEmpty() ? orphans.minus(worker) : orphans.plus(worker, runs);
    return new TaskState(tasks, byWorker, loaded, toForget, next, nextBucket);
  }

  TaskState withNextBucket(int bucket) {
    return new TaskState(tasks, byWorker, loaded, toForget, orphans, bucket);
  }
}
