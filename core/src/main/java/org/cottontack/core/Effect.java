package org.cottontack.core;

/**
 * Something to be carried out by the process around the reducer: an output of the reducer.
 * Implementations are immutable.
 */
public interface Effect {

  /**
   * Delivers an event later.
   *
   * @param millis delay in milliseconds
   * @param event the event to deliver
   */
  record After(long millis, Event event) implements Effect {}

  /**
   * Reduces another event within the same call. It never leaves the core.
   *
   * @param event the event to reduce next
   */
  record Raise(Event event) implements Effect {}

  /**
   * Writes one line to the log and to the timeline.
   *
   * @param name a stable event name such as {@code task.placed}
   * @param subject the subject, such as a task or request identifier
   * @param detail one line of context
   */
  record Note(String name, String subject, String detail) implements Effect {}

  /**
   * Ends this process because it is no longer allowed to act.
   *
   * @param reason one line for the log
   */
  record Halt(String reason) implements Effect {}
}
