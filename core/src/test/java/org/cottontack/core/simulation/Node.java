package org.cottontack.core.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cottontack.core.Event;
import org.cottontack.core.Moment;
import org.cottontack.core.Scheduler;
import org.cottontack.core.Settings;
import org.cottontack.core.State;
import org.cottontack.core.Step;
import org.cottontack.core.id.RequestId;
import org.cottontack.core.request.Answer;
import org.cottontack.core.table.TableEffect;
import org.cottontack.core.task.TaskEffect;

/** One entry instance: the real reducer, with simulated ports. */
public final class Node {

  private final Simulation simulation;
  private final String address;
  private State state;
  private boolean alive = true;
  private boolean paused;
  private final List<Event> eventsWhilePaused = new ArrayList<>();

  /** Answers that callers got; each request has at most one. */
  public final Map<RequestId, Answer> answers = new HashMap<>();

  /** Answers to submissions, queries and cancellations, by ticket. */
  public final Map<Long, TaskEffect.Answered> tickets = new HashMap<>();

  /** Answers to edits, by ticket. */
  public final Map<Long, TableEffect.EditAnswered> edits = new HashMap<>();

  /** Whether the store can be reached. */
  public boolean storeUp = true;

  /** Whether responses of the store arrive; requests take effect even if they don't. */
  public boolean storeAnswers = true;

  /** Text in a row's key; the response to the next transaction on such a row is lost, once. */
  public String loseNextAnswerAbout = "";

  /** One-way delay of responses to its reads in milliseconds; their content is that old. */
  public long scanDelay = 2;

  /** One-way delay of its orders to workers and endpoints, in milliseconds. */
  public long orderDelay = 2;

  /** Additional one-way delay of its start orders, in milliseconds. */
  public long startDelay;

  /** Whether other entry instances, workers and endpoints can be reached. */
  public boolean networkUp = true;

  /**
   * Whether orders to workers and endpoints are withheld until {@link Simulation#releaseOrders}.
   */
  public boolean ordersWithheld;

  Node(Simulation simulation, Settings settings) {
    this.simulation = simulation;
    this.address = settings.address();
    this.state = State.initial(settings, moment());
  }

  private Moment moment() {
    return new Moment(simulation.now(), Simulation.WALL_START + simulation.now());
  }

  /** Returns the state of the reducer. */
  public State state() {
    return state;
  }

  /** Returns the address at which others reach it. */
  public String address() {
    return address;
  }

  boolean alive() {
    return alive;
  }

  /** Returns whether it can send and receive now. */
  boolean connected() {
    return alive && networkUp;
  }

  /** Kills the instance without warning. */
  public void kill() {
    alive = false;
  }

  /** Pauses it, as a signal or a long garbage collection does: nothing runs, no event is lost. */
  public void pause() {
    paused = true;
  }

  /** Resumes it and handles all events that arrived during the pause. */
  public void resume() {
    paused = false;
    List<Event> waiting = List.copyOf(eventsWhilePaused);
    eventsWhilePaused.clear();
    waiting.forEach(this::accept);
  }

  boolean paused() {
    return paused;
  }

  /** Delivers an event; a killed instance drops it, a paused one queues it. */
  public void accept(Event event) {
    if (!alive) {
      return;
    }
    if (paused) {
      eventsWhilePaused.add(event);
      return;
    }
    Step step = Scheduler.reduce(state, moment(), event);
    state = step.state();
    step.effects().forEach(effect -> simulation.execute(this, effect));
  }

  void halted() {
    alive = false;
  }
}
