package org.cottontack.core;

/**
 * Something to be done outside: an output of the reducer, carried out by the process around it.
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
   * Feeds an event to the reducer again within the same call; never leaves the core.
   *
   * @param event the event to reduce next
   */
  record Raise(Event event) implements Effect {}

  /**
   * Writes one line to the log and to the time line.
   *
   * @param name a stable event name such as {@code task.placed}
   * @param subject what it is about, such as a task or request identifier
   * @param detail one line of context
   */
  record Note(String name, String subject, String detail) implements Effect {}

  /**
   * Ends this process because it may no longer act.
   *
   * @param reason one line for the log
   */
  record Halt(String reason) implements Effect {}
}
