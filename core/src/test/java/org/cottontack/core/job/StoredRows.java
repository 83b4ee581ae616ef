package org.cottontack.core.job;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The rows of progress in a simulated store, which refuses what exceeds its limits. */
final class StoredRows {

  private static final int SHARED_ROWS = 2;

  /** Rows that expect a version or that every save writes. */
  private static final int FENCE_ENTRIES = 2;

  StoreLimits limits = StoreLimits.STANDARD;
  private final Map<JobId, TreeMap<Integer, String>> rows = new HashMap<>();

  /** Size of the largest transaction so far as it was sent, in bytes. */
  long largestCallBytes;

  /** Size of the largest row so far, in bytes. */
  int largestRowBytes;

  /** Sum of the contents written so far, in bytes. */
  long writtenBytes;

  int calls;

  /** Returns whether the store would carry out a save. */
  boolean admits(JobEffect.SaveProgress save) {
    long bytes =
        save.progress().values().stream()
            .mapToLong(text -> StoreLimits.sentBytes(ProgressText.bytes(text)))
            .sum();
    bytes += save.removals().size() * StoreLimits.sentBytes(0);
    bytes += StoreLimits.sentBytes(ProgressText.bytes(save.learned()));
    bytes += SHARED_ROWS * StoreLimits.sentBytes(0);
    int entries = save.progress().size() + save.removals().size() + SHARED_ROWS + FENCE_ENTRIES;
    largestCallBytes = Math.max(largestCallBytes, bytes);
    return bytes <= limits.callBytes()
        && entries <= limits.callEntries()
        && save.progress().values().stream()
            .allMatch(text -> ProgressText.bytes(text) <= limits.rowBytes())
        && ProgressText.bytes(save.learned()) <= limits.rowBytes();
  }

  /** Carries a save out. */
  void apply(JobEffect.SaveProgress save) {
    calls++;
    save.progress()
        .forEach(
            (id, text) -> {
              int bytes = ProgressText.bytes(text);
              writtenBytes += bytes;
              largestRowBytes = Math.max(largestRowBytes, bytes);
              put(id, text);
            });
    save.removals().forEach(this::remove);
  }

  void remove(ProgressRowId id) {
    rows.getOrDefault(id.job(), new TreeMap<>()).remove(id.part());
  }

  void put(ProgressRowId id, String text) {
    rows.computeIfAbsent(id.job(), job -> new TreeMap<>()).put(id.part(), text);
  }

  void clear() {
    rows.clear();
  }

  StoredRows copy() {
    StoredRows copy = new StoredRows();
    rows.forEach((job, texts) -> copy.rows.put(job, new TreeMap<>(texts)));
    return copy;
  }

  /** Returns the progress of a job, or null if there is none. */
  StoredProgress get(JobId job) {
    Map<Integer, String> found = new HashMap<>(rows.getOrDefault(job, new TreeMap<>()));
    String main = found.remove(ProgressRowId.MAIN);
    return main == null ? null : new StoredProgress(main, found);
  }

  /** Returns what a leader that takes over finds of a job, or null if there is nothing. */
  StoredProgress found(JobId job) {
    StoredProgress progress = get(job);
    Map<Integer, String> parts = rows.getOrDefault(job, new TreeMap<>());
    return progress == null && !parts.isEmpty() ? StoredProgress.notStarted(parts) : progress;
  }

  /** Returns the lines of the rows in force of a job, the first of which has its phase. */
  Stream<String> lines(JobId job) {
    StoredProgress progress = get(job);
    return progress == null
        ? Stream.empty()
        : Stream.concat(
            progress.main().lines(),
            ProgressText.listedParts(progress.main())
                .flatMap(number -> progress.part(number).lines()));
  }

  /** Returns the size of the largest row, in bytes. */
  int largest() {
    return rows.values().stream()
        .flatMap(texts -> texts.values().stream())
        .mapToInt(ProgressText::bytes)
        .max()
        .orElse(0);
  }

  /** Returns the jobs with progress. */
  Set<JobId> jobs() {
    return rows.keySet().stream().filter(job -> get(job) != null).collect(Collectors.toSet());
  }

  /** Returns the rows of tasks of jobs that have ended or have no main row. */
  Set<ProgressRowId> leftOver() {
    return rows.entrySet().stream()
        .filter(job -> get(job.getKey()) == null || get(job.getKey()).ended())
        .flatMap(
            job -> job.getValue().keySet().stream().map(p -> new ProgressRowId(job.getKey(), p)))
        .filter(id -> !id.isMain())
        .collect(Collectors.toSet());
  }

  /** Returns how many rows of tasks a job has in the store. */
  long parts(JobId job) {
    return rows.getOrDefault(job, new TreeMap<>()).keySet().stream()
        .filter(part -> part != ProgressRowId.MAIN)
        .count();
  }
}
