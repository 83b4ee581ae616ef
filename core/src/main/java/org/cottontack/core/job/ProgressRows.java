package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Divides the progress of one job into rows. A job with few tasks has one row. The tasks of a
 * larger one are in further rows, each with a range of the tasks, and only rows that have changed
 * are written. The main row lists the rows in force, so a leader never combines rows of different
 * saves.
 */
final class ProgressRows {

  /**
   * Largest main row that still has the tasks as well, in bytes. Earlier versions read such a row,
   * and leave jobs with further rows alone.
   */
  static final int MAIN_BYTES = 8_192;

  /** Size from which a row of tasks is divided, in bytes. A single task may take more. */
  static final int PART_BYTES = 4_096;

  /**
   * A row of tasks.
   *
   * @param number its number
   * @param first the first task of its range, which ends before that of the next row
   * @param text its content
   */
  record Part(int number, long first, String text) {

    private Part withNumber(int other) {
      return new Part(other, first, text);
    }
  }

  /**
   * A save of the job.
   *
   * @param main the main row
   * @param parts the rows of tasks in force from this save on
   * @param writes the rows to write
   */
  record Change(String main, List<Part> parts, Map<ProgressRowId, String> writes) {}

  private final JobId job;
  private List<Part> stored = List.of();
  private String storedMain = "";
  private int lastNumber;

  /** Numbers of rows that are in the store and not in force. */
  private final Set<Integer> leftOver = new HashSet<>();

  ProgressRows(JobId job) {
    this.job = job;
  }

  /** Takes over the rows that an earlier leader stored. */
  void restore(StoredProgress progress) {
    storedMain = progress.main();
    stored =
        ProgressText.listedParts(storedMain)
            .map(number -> part(number, progress.part(number)))
            .sorted((one, other) -> Long.compare(one.first(), other.first()))
            .toList();
    leftOver.addAll(progress.parts().keySet());
    stored.forEach(part -> leftOver.remove(part.number()));
    lastNumber = progress.parts().keySet().stream().reduce(0, Math::max);
  }

  private static Part part(int number, String text) {
    return new Part(number, ProgressText.firstTask(text), text);
  }

  /** Returns the rows to write so that the store has the present progress. */
  Change change(Job from, StoreLimits limits) {
    // Further rows become one again only once the job has ended: a job that runs would go back and
    // forth. Tasks of dropped occurrences are ranges, which only further rows have.
    if ((stored.isEmpty() && !from.hasDropped()) || from.phase.terminal()) {
      String text = ProgressText.write(from);
      if (ProgressText.bytes(text) <= Math.min(MAIN_BYTES, limits.contentBytes())) {
        return new Change(text, List.of(), Map.of(ProgressRowId.main(job), text));
      }
    }
    List<Part> parts = divide(from, Math.min(PART_BYTES, limits.contentBytes() / 2));
    Map<ProgressRowId, String> writes = new HashMap<>();
    parts.stream()
        .filter(part -> !stored.contains(part))
        .forEach(part -> writes.put(new ProgressRowId(job, part.number()), part.text()));
    return changeTo(from, parts, writes);
  }

  /**
   * Returns the same change with new rows in place of changed ones. It may be written in several
   * transactions, the main row last: until then the rows of the last save stay as they are.
   */
  Change withNewRows(Job from, Change change) {
    Map<ProgressRowId, String> writes = new HashMap<>();
    List<Part> parts = new ArrayList<>();
    for (Part part : change.parts()) {
      boolean unchanged = stored.contains(part);
      Part next = unchanged || !inForce(part.number()) ? part : part.withNumber(nextNumber());
      parts.add(next);
      if (!unchanged) {
        writes.put(new ProgressRowId(job, next.number()), next.text());
      }
    }
    return changeTo(from, parts, writes);
  }

  private Change changeTo(Job from, List<Part> parts, Map<ProgressRowId, String> writes) {
    String main = ProgressText.main(from, parts.stream().map(Part::number).sorted().toList());
    // A save of a job always writes a row of it: the fence shows that this leader still leads.
    if (!main.equals(storedMain) || writes.isEmpty()) {
      writes.put(ProgressRowId.main(job), main);
    }
    return new Change(main, parts, writes);
  }

  private int nextNumber() {
    lastNumber++;
    return lastNumber;
  }

  /** Divides tasks into rows. A row keeps its range unless it grows too large or very small. */
  private final class Division {

    private final int partBytes;
    private final List<Part> parts = new ArrayList<>();
    private final Iterator<Part> rest = stored.iterator();
    private Optional<Part> next = nextStored();
    private Optional<ProgressText.PartBuilder> open = Optional.empty();
    private int openNumber;
    private long task;

    Division(int partBytes) {
      this.partBytes = partBytes;
    }

    private Optional<Part> nextStored() {
      return rest.hasNext() ? Optional.of(rest.next()) : Optional.empty();
    }

    /** Adds the next task. */
    void add(Task added) {
      boolean isStored = ProgressText.isStored(added);
      boolean done = isStored && added.phase == Task.Phase.DONE;
      String line = isStored && !done ? ProgressText.line(added) : "";
      ProgressText.PartBuilder row = row(line.length());
      if (done) {
        row.addDone(task, task);
      } else if (isStored) {
        row.add(line);
      }
      task++;
    }

    /** Adds all tasks before a number that were not added: those of dropped occurrences. */
    void addDoneBefore(long number) {
      if (task < number) {
        row(0).addDone(task, number - 1);
        task = number;
        while (next.filter(part -> part.first() < number).isPresent()) {
          next = nextStored();
        }
      }
    }

    /** Returns the row for the next task, whose line has the given length. */
    private ProgressText.PartBuilder row(int length) {
      Optional<Part> begins = next.filter(part -> task >= part.first());
      next = begins.isPresent() ? nextStored() : next;
      boolean full = open.filter(row -> row.length() + length > partBytes).isPresent();
      if (open.isEmpty() || full || begins.filter(part -> !joins(part)).isPresent()) {
        end();
        open = Optional.of(new ProgressText.PartBuilder(task));
        openNumber = begins.map(Part::number).orElseGet(ProgressRows.this::nextNumber);
      }
      return open.orElseThrow();
    }

    /** Returns whether a row is so small that it becomes part of the one before. */
    private boolean joins(Part part) {
      return open.orElseThrow().length() + part.text().length() <= partBytes / 2;
    }

    private void end() {
      open.ifPresent(row -> parts.add(new Part(openNumber, row.first(), row.text())));
    }

    List<Part> parts() {
      end();
      return parts;
    }
  }

  private List<Part> divide(Job from, int partBytes) {
    Division division = new Division(partBytes);
    from.open()
        .forEach(
            occurrence -> {
              division.addDoneBefore(occurrence.number * from.spec.tasks());
              occurrence.tasks().forEach(division::add);
            });
    division.addDoneBefore(from.openedTasks());
    return division.parts();
  }

  /** Returns whether a row of tasks is in force. */
  boolean inForce(int number) {
    return stored.stream().anyMatch(part -> part.number() == number);
  }

  /** Records that a change is in the store. */
  void stored(Change change) {
    stored.forEach(part -> leftOver.add(part.number()));
    stored = change.parts();
    storedMain = change.main();
    stored.forEach(part -> leftOver.remove(part.number()));
  }

  /** Records that the rows of a change may be in the store although it was not completed. */
  void abandoned(Change change) {
    change.parts().stream()
        .map(Part::number)
        .filter(number -> !inForce(number))
        .forEach(leftOver::add);
  }

  /** Returns the rows that are in the store and not in force, and forgets them. */
  Set<ProgressRowId> takeLeftOver() {
    Set<ProgressRowId> rows =
        leftOver.stream().map(number -> new ProgressRowId(job, number)).collect(Collectors.toSet());
    leftOver.clear();
    return rows;
  }
}
