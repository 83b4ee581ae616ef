package org.cottontack.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cottontack.core.Effect;
import org.cottontack.core.Handlers;
import org.cottontack.core.State;
import org.cottontack.core.Step;
import org.cottontack.core.id.EndpointId;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.ownership.OwnershipEvent;
import org.cottontack.core.ownership.OwnershipState;

/**
 * Tracks the platform's list of workers and endpoints, and acquires and releases them as the epochs
 * change.
 */
public final class FleetReducer {

  /** Interval between two requests for the platform's list. */
  private static final long LIST_MILLIS = 1_000;

  /** Interval between two rounds of probes. */
  private static final long PROBE_MILLIS = 500;

  private FleetReducer() {}

  /** Returns the handlers of this part. */
  public static Handlers handlers() {
    return new Handlers()
        .on(OwnershipEvent.Start.class, (state, event) -> start(state))
        .on(FleetEvent.ListDue.class, FleetReducer::listDue)
        .on(FleetEvent.ProbeDue.class, FleetReducer::probeDue)
        .on(FleetEvent.Listed.class, FleetReducer::listed)
        .on(FleetEvent.EndpointReported.class, FleetReducer::endpointReported)
        .on(OwnershipEvent.EpochSeen.class, (state, event) -> release(state))
        .on(OwnershipEvent.GainsOpen.class, (state, event) -> gain(state));
  }

  private static Step start(State state) {
    return listDue(state, new FleetEvent.ListDue())
        .then(s -> probeDue(s, new FleetEvent.ProbeDue()));
  }

  private static Step listDue(State state, FleetEvent.ListDue event) {
    return Step.of(state, new FleetEffect.FetchList(), new Effect.After(LIST_MILLIS, event));
  }

  private static Step listed(State state, FleetEvent.Listed event) {
    Map<MemberKind, List<MemberInfo>> members =
        event.members().stream()
            .filter(member -> member.dataCentre().equals(state.settings().dataCentre()))
            .collect(Collectors.groupingBy(MemberInfo::kind));
    State next = state.with(state.fleet().withListedAt(state.mono()));
    next = endpoints(next, members.getOrDefault(MemberKind.ENDPOINT, List.of()));
    next = workers(next, members.getOrDefault(MemberKind.WORKER, List.of()));
    return gain(next);
  }

  /**
   * Updates the endpoints from the list. One that is missing from it gets no new work, but this
   * process still waits for the answers of the attempts that run there.
   */
  private static State endpoints(State state, List<MemberInfo> listed) {
    Map<EndpointId, MemberInfo> byId = byId(listed, EndpointId::new);
    FleetState fleet = state.fleet();
    for (EndpointView known : fleet.endpoints().values()) {
      MemberInfo info = byId.get(known.id());
      fleet = fleet.with(info == null ? known.withLeaving() : known.relisted(info));
    }
    for (MemberInfo info : listed) {
      boolean known = fleet.endpoints().containsKey(new EndpointId(info.name()));
      fleet = known ? fleet : fleet.with(EndpointView.listed(info));
    }
    return state.with(fleet);
  }

  private static State workers(State state, List<MemberInfo> listed) {
    Map<WorkerId, MemberInfo> byId = byId(listed, WorkerId::new);
    FleetState fleet = state.fleet();
    for (WorkerView known : fleet.workers().values()) {
      MemberInfo info = byId.get(known.id());
      fleet = fleet.with(info == null ? known.withLeaving() : known.relisted(info));
    }
    for (MemberInfo info : listed) {
      boolean known = fleet.workers().containsKey(new WorkerId(info.name()));
      fleet = known ? fleet : fleet.with(WorkerView.listed(info));
    }
    return state.with(fleet);
  }

  private static <K> Map<K, MemberInfo> byId(List<MemberInfo> listed, Function<String, K> toId) {
    return listed.stream()
        .collect(Collectors.toMap(m -> toId.apply(m.name()), Function.identity(), (a, b) -> b));
  }

  /**
   * Releases the resources that another member owns in the new epoch. This happens before the epoch
   * is acknowledged.
   */
  private static Step release(State state) {
    OwnershipState own = state.ownership();
    Step step = Step.of(state);
    for (EndpointView endpoint : state.fleet().endpoints().values()) {
      if (endpoint.held() && !own.owns(name(endpoint))) {
        step = step.then(s -> Step.of(s.with(s.fleet().with(endpoint.withHeld(false)))));
      }
    }
    for (WorkerView worker : state.fleet().workers().values()) {
      if (worker.owned() && !own.owns(name(worker))) {
        step =
            step.then(s -> Step.of(s.with(s.fleet().with(worker.withOwned(false, s.mono())))))
                .with(new Effect.Raise(new FleetEvent.WorkerReleased(worker.id())));
      }
    }
    return step;
  }

  /** Acquires the workers assigned to this process, once the current epoch permits it. */
  private static Step gain(State state) {
    if (!state.ownership().gainsOpen(state.mono())) {
      return Step.of(state);
    }
    List<WorkerView> gained =
        state.fleet().workers().values().stream()
            .filter(worker -> !worker.owned() && state.ownership().owns(name(worker)))
            .toList();
    return Step.fold(state, gained, FleetReducer::gainWorker);
  }

  private static Step gainWorker(State state, WorkerView worker) {
    return Step.of(
        state.with(state.fleet().with(worker.withOwned(true, state.mono()))),
        new Effect.Note("worker.gained", worker.id().value(), "epoch " + epoch(state)),
        new Effect.Raise(new FleetEvent.WorkerGained(worker.id())));
  }

  private static long epoch(State state) {
    return state.ownership().assignment().epoch();
  }

  private static Step probeDue(State state, FleetEvent.ProbeDue event) {
    return gain(state).then(FleetReducer::probe).with(new Effect.After(PROBE_MILLIS, event));
  }

  private static Step probe(State state) {
    boolean open = state.ownership().gainsOpen(state.mono());
    Effect[] probes =
        state.fleet().endpoints().values().stream()
            .filter(endpoint -> needsProbe(state, endpoint, open))
            .map(e -> new FleetEffect.ProbeEndpoint(e.id(), e.address(), state.mono()))
            .toArray(Effect[]::new);
    return Step.of(state, probes);
  }

  /**
   * Returns whether the endpoint is to be acquired, or runs attempts for which no answer is
   * expected and whose end only a report can show.
   */
  private static boolean needsProbe(State state, EndpointView endpoint, boolean open) {
    boolean gaining = open && !endpoint.held() && state.ownership().owns(name(endpoint));
    boolean inDoubt =
        endpoint.held()
            && endpoint.busy().keySet().stream()
                .anyMatch(attempt -> !state.requests().awaits(attempt));
    return gaining || inDoubt;
  }

  private static Step endpointReported(State state, FleetEvent.EndpointReported event) {
    EndpointView known = state.fleet().endpoints().get(event.endpoint());
    if (known == null) {
      return Step.of(state);
    }
    boolean open =
        state.ownership().gainsOpen(event.askedAt())
            && state.ownership().mayAct(state.mono())
            && state.ownership().owns(name(known));
    long lastSent = event.askedAt() - state.settings().orderLifetime();
    EndpointView reported =
        known.reported(event.running(), lastSent, state.requests()::awaits, state.mono());
    EndpointView next = known.held() || open ? reported.withHeld(true) : reported;
    Step step = Step.of(state.with(state.fleet().with(next)));
    return known.held() == next.held()
        ? step.with(new Effect.Raise(new FleetEvent.SlotsFreed()))
        : step.with(
            new Effect.Note("endpoint.gained", next.id().value(), "epoch " + epoch(state)),
            new Effect.Raise(new FleetEvent.SlotsFreed()));
  }

  private static String name(EndpointView endpoint) {
    return "endpoint/" + endpoint.id();
  }

  private static String name(WorkerView worker) {
    return WorkerView.resource(worker.id());
  }
}
