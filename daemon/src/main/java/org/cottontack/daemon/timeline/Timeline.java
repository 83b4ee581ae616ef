package org.cottontack.daemon.timeline;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;

/** The newest events of this process, in memory because instances have no disk. */
public final class Timeline {

  private final int capacity;
  private final Deque<Entry> entries = new ArrayDeque<>();
  private long dropped;

  /** Creates a time line that keeps so many entries. */
  public Timeline(int capacity) {
    this.capacity = capacity;
  }

  /**
   * One event.
   *
   * @param stamp hybrid logical clock
   * @param wallMillis milliseconds since 1970
   * @param instance the incarnation
   * @param dataCentre its data centre
   * @param event stable name
   * @param subject what it is about
   * @param detail one line
   */
  public record Entry(
      long stamp,
      long wallMillis,
      String instance,
      String dataCentre,
      String event,
      String subject,
      String detail) {}

  /** Adds an event; the oldest goes when the time line is full. */
  public synchronized void add(Entry entry) {
    if (entries.size() >= capacity) {
      entries.removeFirst();
      dropped++;
    }
    entries.addLast(entry);
  }

  /** Returns matching events, oldest first. */
  public synchronized List<Entry> select(Predicate<Entry> wanted) {
    return entries.stream().filter(wanted).toList();
  }

  /** Returns how many events were dropped because it was full. */
  public synchronized long dropped() {
    return dropped;
  }
}
