package org.cottontack.core.job;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Completions that changed the progress of one job and are not stored yet. An acknowledgement
 * covers all completions up to a number, so only the lowest number of each incarnation counts.
 */
final class UnsavedCompletions {

  private Map<WorkerIncarnation, Long> waiting = new HashMap<>();

  /** The completions that the save in flight stores. */
  private Map<WorkerIncarnation, Long> saving = Map.of();

  /** Records a completion. */
  void add(WorkerIncarnation on, long number) {
    waiting.merge(on, number, Math::min);
  }

  /** Records that a save of all progress of the job begins. */
  void beginSave() {
    saving = waiting;
    waiting = new HashMap<>();
  }

  /** Records that this save is stored. */
  void saved() {
    saving = Map.of();
  }

  /** Records that the store has refused this save. */
  void refused() {
    saving.forEach(this::add);
    saving = Map.of();
  }

  /** Returns the lowest numbers of the completions that the save in flight stores. */
  Stream<Map.Entry<WorkerIncarnation, Long>> saving() {
    return saving.entrySet().stream();
  }

  /** Returns the lowest numbers of the completions that no save so far has stored or stores. */
  Stream<Map.Entry<WorkerIncarnation, Long>> waiting() {
    return waiting.entrySet().stream();
  }
}
