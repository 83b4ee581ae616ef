package org.cottontack.core.lab;

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

/** One entry instance: the real reducer between fake ports. */
public final class Node {

  private final Lab lab;
  private final String address;
  private State state;
  private boolean alive = true;
  private boolean paused;
  private final List<Event> missed = new ArrayList<>();

  /** Answers callers got; each request has at most one. */
  public final Map<RequestId, Answer> answers = new HashMap<>();

  /** Answers to submissions, queries and cancellations, by ticket. */
  public final Map<Long, TaskEffect.Answered> tickets = new HashMap<>();

  /** Answers to edits, by ticket. */
  public final Map<Long, TableEffect.EditAnswered> edits = new HashMap<>();

  /** Whether the store can be reached. */
  public boolean storeUp = true;

  /** Whether answers of the store arrive; requests take effect all the same. */
  public boolean storeAnswers = true;

  /** The answer to the next transaction that touches a row with this in its key is lost, once. */
  public String loseNextAnswerAbout = "";

  /** How long answers to its reads are under way; what they tell is as old. */
  public long scanDelay = 2;

  /** How long its orders are under way to workers and endpoints. */
  public long orderDelay = 2;

  /** How long its start orders are under way, beyond that. */
  public long startDelay;

  /** Whether other entry instances, workers and endpoints can be reached. */
  public boolean networkUp = true;

  /** Whether orders to workers and endpoints are held up on their way until released. */
  public boolean ordersHeld;

  Node(Lab lab, Settings settings) {
    this.lab = lab;
    this.address = settings.address();
    this.state = State.initial(settings, moment());
  }

  private Moment moment() {
    return new Moment(lab.now(), Lab.WALL_START + lab.now());
  }

  /** Returns its state. */
  public State state() {
    return state;
  }

  /** Returns where others reach it. */
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

  /** Ends it without any warning. */
  public void kill() {
    alive = false;
  }

  /** Stops it as a signal or a long collection of garbage does: nothing runs, nothing is lost. */
  public void pause() {
    paused = true;
  }

  /** Lets it go on; everything that came meanwhile is handled now. */
  public void resume() {
    paused = false;
    List<Event> waiting = List.copyOf(missed);
    missed.clear();
    waiting.forEach(this::accept);
  }

  boolean paused() {
    return paused;
  }

  /** Hands it an event. */
  public void accept(Event event) {
    if (!alive) {
      return;
    }
    if (paused) {
      missed.add(event);
      return;
    }
    Step step = Scheduler.reduce(state, moment(), event);
    state = step.state();
    step.effects().forEach(effect -> lab.carryOut(this, effect));
  }

  void halted() {
    alive = false;
  }
}
