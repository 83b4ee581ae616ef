package org.cottontack.core.task;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cottontack.core.Effect;
import org.cottontack.core.State;
import org.cottontack.core.Step;
import org.cottontack.core.fleet.FleetEvent;
import org.cottontack.core.fleet.WorkerView;
import org.cottontack.core.id.InstanceId;
import org.cottontack.core.id.TaskId;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.ownership.OwnershipState;
import org.cottontack.core.ownership.Rendezvous;
import org.cottontack.core.peer.PeerEffect;
import org.cottontack.core.peer.PeerEvent;
import org.cottontack.core.peer.PeerMessage;
import org.cottontack.core.store.Purpose;
import org.cottontack.core.store.StoreEffect;
import org.cottontack.core.store.StoreEvent;
import org.cottontack.core.store.StoreKey;
import org.cottontack.core.store.StoreRow;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * Reads task records from the store: all of them when workers are gained, afterwards one bucket at
 * a time, and single records when another instance sends a notice.
 */
final class Loading {

  private static final long SWEEP_MILLIS = 500;
  private static final long NOTICED_RETENTION_MILLIS = 5_000;

  private Loading() {}

  /**
   * A read of all live tasks of the data centre.
   *
   * @param owned workers owned when the read was requested
   */
  private record AllTasks(PSet<WorkerId> owned) implements Purpose {}

  private record Bucket() implements Purpose {}

  private record SingleTask(TaskId task) implements Purpose {}

  private record Orphan(WorkerId worker, RunReport report) implements Purpose {}

  static Step loadAll(State state) {
    PSet<WorkerId> owned =
        HashTreePSet.from(
            state.fleet().ownedWorkers().map(WorkerView::id).collect(Collectors.toSet()));
    return Step.of(
        state,
        new StoreEffect.Scan(
            StoreKey.tasksPrefix(state.settings().dataCentre()), new AllTasks(owned)));
  }

  /** Reads the next of this instance's buckets, to find tasks whose notice was lost. */
  static Step sweepDue(State state, TaskEvent.SweepDue event) {
    State remaining = state.with(dropTasksOfOthers(state));
    return Step.of(remaining, new Effect.After(SWEEP_MILLIS, event)).then(Loading::sweep);
  }

  private static Step sweep(State state) {
    List<WorkerId> missing =
        state
            .fleet()
            .ownedWorkers()
            .map(WorkerView::id)
            .filter(id -> !state.tasks().loaded().contains(id))
            .toList();
    if (!missing.isEmpty()) {
      return loadAll(state);
    }
    int from = state.tasks().nextBucket();
    return IntStream.range(0, StoreKey.BUCKETS)
        .map(step -> (from + step) % StoreKey.BUCKETS)
        .filter(bucket -> state.ownership().owns(bucketName(bucket)))
        .boxed()
        .findFirst()
        .map(bucket -> sweepBucket(state, bucket))
        .orElseGet(() -> Step.of(state));
  }

  private static Step sweepBucket(State state, int bucket) {
    String prefix = StoreKey.bucketPrefix(state.settings().dataCentre(), bucket);
    State next = state.with(state.tasks().withNextBucket((bucket + 1) % StoreKey.BUCKETS));
    return Step.of(next, new StoreEffect.Scan(prefix, new Bucket()));
  }

  private static String bucketName(int bucket) {
    return "bucket/" + bucket;
  }

  private static TaskState dropTasksOfOthers(State state) {
    TaskState tasks = state.tasks();
    for (TaskView view : state.tasks().tasks().values()) {
      boolean idle = view.activity() != TaskView.Activity.WRITING;
      tasks = idle && !isResponsibleFor(state, view) ? tasks.remove(view.record().id()) : tasks;
    }
    return tasks;
  }

  private static boolean isResponsibleFor(State state, TaskView view) {
    return state.mono() < view.keepUntil() || isResponsibleFor(state, view.record());
  }

  private static boolean isResponsibleFor(State state, TaskRecord record) {
    if (record.phase() == TaskPhase.PLACED) {
      WorkerView worker = state.fleet().workers().get(record.worker());
      return worker != null && worker.owned();
    }
    return state.ownership().owns(bucketName(StoreKey.bucketOf(record.id())));
  }

  static Step workerReleased(State state, FleetEvent.WorkerReleased event) {
    TaskState tasks = state.tasks();
    for (TaskView view : state.tasks().on(event.worker()).toList()) {
      tasks = tasks.remove(view.record().id());
    }
    return Step.of(
        state.with(
            tasks
                .withLoaded(tasks.loaded().minus(event.worker()))
                .withToForget(event.worker(), HashTreePSet.empty())
                .withOrphans(event.worker(), HashTreePSet.empty())));
  }

  /** Notifies the instance that owns the bucket of a waiting task. */
  static Step notifyBucketOwner(State state, TaskId task) {
    OwnershipState own = state.ownership();
    String bucket = bucketName(StoreKey.bucketOf(task));
    return own.owns(bucket)
        ? read(state, task)
        : Rendezvous.owner(bucket, own.assignment().members().keySet())
            .map(owner -> sendNotice(state, owner, task))
            .orElseGet(() -> Step.of(state));
  }

  static Step notifyOthers(State state, TaskId task) {
    return Step.fold(state, state.ownership().others(), (s, other) -> sendNotice(s, other, task));
  }

  static Step sendNotice(State state, InstanceId to, TaskId task) {
    StoreKey key = StoreKey.task(state.settings().dataCentre(), task);
    return state
        .ownership()
        .addressOf(to)
        .map(
            address ->
                Step.of(state, new PeerEffect.Send(address, new PeerMessage.TaskNotice(key))))
        .orElseGet(() -> Step.of(state));
  }

  static Step noticeReceived(State state, PeerEvent.Received event) {
    if (!(event.message() instanceof PeerMessage.TaskNotice notice)) {
      return Step.of(state);
    }
    String key = notice.key().value();
    TaskId task = new TaskId(key.substring(key.lastIndexOf('/') + 1));
    TaskView known = state.tasks().tasks().get(task);
    boolean inProgress = known != null && known.activity() != TaskView.Activity.NOTHING;
    return inProgress ? Step.of(state) : read(state, task);
  }

  /** Reads the record of one live task. */
  static Step read(State state, TaskId task) {
    StoreKey key = StoreKey.task(state.settings().dataCentre(), task);
    return Step.of(state, new StoreEffect.Scan(key.value(), new SingleTask(task)));
  }

  /**
   * Reads the record of a task for which a worker reports an attempt that no loaded record allows.
   */
  static Step readOrphan(State state, WorkerId worker, RunReport report) {
    StoreKey key = StoreKey.task(state.settings().dataCentre(), report.run().task());
    PSet<Run> orphans = state.tasks().orphans(worker).plus(report.run());
    return Step.of(
        state.with(state.tasks().withOrphans(worker, orphans)),
        new StoreEffect.Scan(key.value(), new Orphan(worker, report)));
  }

  static Step scanned(State state, StoreEvent.Scanned event) {
    if (event.purpose() instanceof AllTasks all) {
      return loadedAll(state, all, event.rows());
    }
    if (event.purpose() instanceof Bucket) {
      return notifyWorkerOwners(merge(state, event.rows(), 0), event.rows());
    }
    if (event.purpose() instanceof SingleTask single) {
      State merged = merge(state, rowsOfTask(state, single.task(), event.rows()), keepUntil(state));
      return Step.of(merged);
    }
    if (event.purpose() instanceof Orphan orphan) {
      return resolveOrphan(state, orphan, event.rows());
    }
    return Step.of(state);
  }

  /**
   * Notifies the owners of workers that placed tasks of a bucket belong to. A placement may take
   * effect after its writer lost the worker and after the worker's new owner read the records. The
   * writer then sends no start order and the new owner does not know the placement, so without this
   * notice the task would wait indefinitely.
   */
  private static Step notifyWorkerOwners(State state, List<StoreRow> rows) {
    List<TaskRecord> elsewhere =
        rows.stream()
            .map(row -> (TaskRecord) row.value())
            .filter(record -> record.phase() == TaskPhase.PLACED)
            .filter(record -> !isResponsibleFor(state, record))
            .toList();
    return Step.fold(state, elsewhere, Loading::notifyWorkerOwner);
  }

  private static Step notifyWorkerOwner(State state, TaskRecord record) {
    return Rendezvous.owner(
            WorkerView.resource(record.worker()), state.ownership().assignment().members().keySet())
        .map(owner -> sendNotice(state, owner, record.id()))
        .orElseGet(() -> Step.of(state));
  }

  private static long keepUntil(State state) {
    return state.mono() + NOTICED_RETENTION_MILLIS;
  }

  private static List<StoreRow> rowsOfTask(State state, TaskId task, List<StoreRow> rows) {
    StoreKey key = StoreKey.task(state.settings().dataCentre(), task);
    return rows.stream().filter(row -> row.key().equals(key)).toList();
  }

  private static Step loadedAll(State state, AllTasks all, List<StoreRow> rows) {
    State merged = merge(state, rows, 0);
    PSet<WorkerId> loaded = merged.tasks().loaded();
    List<WorkerId> stillOwned =
        merged.fleet().ownedWorkers().map(WorkerView::id).filter(all.owned()::contains).toList();
    return Step.of(merged.with(merged.tasks().withLoaded(loaded.plusAll(stillOwned))));
  }

  private static State merge(State state, List<StoreRow> rows, long keepUntil) {
    TaskState tasks = state.tasks();
    for (StoreRow row : rows) {
      TaskRecord record = (TaskRecord) row.value();
      TaskView known = tasks.tasks().get(record.id());
      boolean needed = state.mono() < keepUntil || isResponsibleFor(state, record);
      boolean newer =
          known == null
              || (known.activity() != TaskView.Activity.WRITING && row.version() > known.version());
      if (needed && newer) {
        tasks = tasks.put(TaskView.loaded(record, row.version(), keepUntil));
      }
    }
    return state.with(tasks);
  }

  private static Step resolveOrphan(State state, Orphan orphan, List<StoreRow> rows) {
    Run run = orphan.report().run();
    WorkerView worker = state.fleet().workers().get(orphan.worker());
    State next = removeOrphan(state, orphan.worker(), run);
    if (worker == null || !worker.owned()) {
      return Step.of(next);
    }
    List<StoreRow> live = rowsOfTask(state, run.task(), rows);
    boolean allowed =
        live.stream()
            .map(row -> (TaskRecord) row.value())
            .anyMatch(r -> r.placedOn(worker.id()) && r.run().equals(run));
    if (allowed) {
      return Step.of(merge(next, live, 0));
    }
    // The record allows another attempt or none, so this one must not continue.
    return orphan.report().status() == RunReport.Status.RUNNING
        ? WorkerPolling.stop(next, worker, run)
        : Step.of(Transition.forget(next, worker.id(), run));
  }

  private static State removeOrphan(State state, WorkerId worker, Run run) {
    return state.with(state.tasks().withOrphans(worker, state.tasks().orphans(worker).minus(run)));
  }
}
