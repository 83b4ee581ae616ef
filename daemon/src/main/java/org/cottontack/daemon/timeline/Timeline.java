package org.cottontack.daemon.timeline;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;

/** The most recent events of this process, kept in memory because instances have no disk. */
public final class Timeline {

  private final int capacity;
  private final Deque<Entry> entries = new ArrayDeque<>();
  private long dropped;

  /** Creates a timeline that keeps at most the given number of entries. */
  public Timeline(int capacity) {
    this.capacity = capacity;
  }

  /**
   * An event.
   *
   * @param stamp timestamp of the hybrid logical clock
   * @param wallMillis milliseconds since 1970
   * @param instance the incarnation
   * @param dataCentre its data centre
   * @param event stable name of the event
   * @param subject the object that the event is about
   * @param detail one line of details
   */
  public record Entry(
      long stamp,
      long wallMillis,
      String instance,
      String dataCentre,
      String event,
      String subject,
      String detail) {}

  /** Adds an event; if the timeline is full, the oldest event is dropped. */
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

  /** Returns how many events were dropped because the timeline was full. */
  public synchronized long dropped() {
    return dropped;
  }
}
