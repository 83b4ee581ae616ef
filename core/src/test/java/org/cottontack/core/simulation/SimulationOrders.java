package org.cottontack.core.simulation;

import org.cottontack.core.Effect;
import org.cottontack.core.fleet.FleetEffect;
import org.cottontack.core.fleet.FleetEvent;
import org.cottontack.core.peer.Payload;
import org.cottontack.core.request.RequestEffect;
import org.cottontack.core.request.RequestEvent;
import org.cottontack.core.task.TaskEffect;
import org.cottontack.core.task.WorkerEvent;

/** Sends orders to workers and endpoints only while they are valid, as the real adapters do. */
final class SimulationOrders {

  private SimulationOrders() {}

  static void execute(Simulation simulation, Node node, Effect effect) {
    if (effect instanceof TaskEffect.PollWorker poll) {
      poll(simulation, node, poll);
    } else if (effect instanceof TaskEffect.StartRun start) {
      start(simulation, node, start);
    } else if (effect instanceof TaskEffect.StopRun stop) {
      if (simulation.now() < stop.validUntil()) {
        simulation.order(node, () -> stop(simulation, node, stop));
      }
    } else if (effect instanceof RequestEffect.Dispatch dispatch) {
      dispatch(simulation, node, dispatch);
    } else if (effect instanceof FleetEffect.ProbeEndpoint probe) {
      FakeEndpoint endpoint = simulation.endpointNamed(probe.endpoint().value());
      simulation.reply(
          node,
          () -> node.networkUp && endpoint.reachable,
          () ->
              new FleetEvent.EndpointReported(
                  probe.endpoint(), probe.askedAt(), endpoint.running()));
    }
  }

  private static void poll(Simulation simulation, Node node, TaskEffect.PollWorker poll) {
    if (simulation.now() >= poll.validUntil()) {
      return;
    }
    FakeWorker worker = simulation.workerNamed(poll.worker().value());
    simulation.order(
        node,
        () -> {
          if (node.networkUp && worker.receivesOrders) {
            worker.poll(poll, simulation.now());
            simulation.reply(
                node,
                () -> worker.answers && node.networkUp,
                () -> Simulation.report(worker, poll, simulation.now()));
          }
        });
  }

  private static void start(Simulation simulation, Node node, TaskEffect.StartRun start) {
    if (simulation.now() >= start.validUntil()) {
      return;
    }
    FakeWorker worker = simulation.workerNamed(start.worker().value());
    Runnable arrival = () -> arrive(simulation, node, start, worker);
    simulation.order(
        node, node.startDelay == 0 ? arrival : () -> simulation.after(node.startDelay, arrival));
  }

  private static void arrive(
      Simulation simulation, Node node, TaskEffect.StartRun start, FakeWorker worker) {
    if (!node.networkUp || !worker.receivesOrders) {
      return;
    }
    boolean accepted = worker.start(start, simulation.now());
    simulation.reply(
        node,
        () -> worker.answers && node.networkUp,
        () -> new WorkerEvent.StartAnswered(start.worker(), start.run(), accepted, "refused"));
  }

  private static void stop(Simulation simulation, Node node, TaskEffect.StopRun stop) {
    FakeWorker worker = simulation.workerNamed(stop.worker().value());
    if (node.networkUp && worker.receivesOrders) {
      worker.stop(stop.run());
    }
  }

  private static void dispatch(Simulation simulation, Node node, RequestEffect.Dispatch order) {
    FakeEndpoint endpoint = simulation.endpointNamed(order.endpoint().value());
    if (simulation.now() >= order.validUntil() || !endpoint.reachable || !node.networkUp) {
      simulation.after(
          1, () -> node.accept(new RequestEvent.EndpointFailed(order.attempt(), false)));
      return;
    }
    simulation.order(
        node,
        () -> {
          endpoint.run(order.attempt(), order.body().text());
          simulation.after(endpoint.millis, () -> finish(simulation, node, endpoint, order));
        });
  }

  private static void finish(
      Simulation simulation, Node node, FakeEndpoint endpoint, RequestEffect.Dispatch order) {
    endpoint.finish(order.attempt());
    boolean arrives = endpoint.answers && node.networkUp;
    Payload body = Payload.of("answer to " + order.body().text());
    simulation.after(
        1,
        () ->
            node.accept(
                arrives
                    ? new RequestEvent.EndpointAnswered(order.attempt(), endpoint.status, body)
                    : new RequestEvent.EndpointFailed(order.attempt(), true)));
  }
}
