package org.cottontack.core.lab;

import org.cottontack.core.Effect;
import org.cottontack.core.fleet.FleetEffect;
import org.cottontack.core.fleet.FleetEvent;
import org.cottontack.core.peer.Payload;
import org.cottontack.core.request.RequestEffect;
import org.cottontack.core.request.RequestEvent;
import org.cottontack.core.task.TaskEffect;
import org.cottontack.core.task.WorkerEvent;

/** Orders to workers and endpoints: sent only while valid, as the real adapters do. */
final class LabOrders {

  private LabOrders() {}

  static void carryOut(Lab lab, Node node, Effect effect) {
    if (effect instanceof TaskEffect.PollWorker poll) {
      poll(lab, node, poll);
    } else if (effect instanceof TaskEffect.StartRun start) {
      start(lab, node, start);
    } else if (effect instanceof TaskEffect.StopRun stop) {
      if (lab.now() < stop.validUntil()) {
        lab.order(node, () -> stop(lab, node, stop));
      }
    } else if (effect instanceof RequestEffect.Dispatch dispatch) {
      dispatch(lab, node, dispatch);
    } else if (effect instanceof FleetEffect.ProbeEndpoint probe) {
      FakeEndpoint endpoint = lab.endpointNamed(probe.endpoint().value());
      lab.reply(
          node,
          () -> node.networkUp && endpoint.reachable,
          () ->
              new FleetEvent.EndpointReported(
                  probe.endpoint(), probe.askedAt(), endpoint.running()));
    }
  }

  private static void poll(Lab lab, Node node, TaskEffect.PollWorker poll) {
    if (lab.now() >= poll.validUntil()) {
      return;
    }
    FakeWorker worker = lab.workerNamed(poll.worker().value());
    lab.order(
        node,
        () -> {
          if (node.networkUp && worker.hears) {
            worker.poll(poll, lab.now());
            lab.reply(
                node,
                () -> worker.answers && node.networkUp,
                () -> Lab.report(worker, poll, lab.now()));
          }
        });
  }

  private static void start(Lab lab, Node node, TaskEffect.StartRun start) {
    if (lab.now() >= start.validUntil()) {
      return;
    }
    FakeWorker worker = lab.workerNamed(start.worker().value());
    Runnable arrival = () -> arrive(lab, node, start, worker);
    lab.order(node, node.startDelay == 0 ? arrival : () -> lab.after(node.startDelay, arrival));
  }

  private static void arrive(Lab lab, Node node, TaskEffect.StartRun start, FakeWorker worker) {
    if (!node.networkUp || !worker.hears) {
      return;
    }
    boolean accepted = worker.start(start, lab.now());
    lab.reply(
        node,
        () -> worker.answers && node.networkUp,
        () -> new WorkerEvent.StartAnswered(start.worker(), start.run(), accepted, "refused"));
  }

  private static void stop(Lab lab, Node node, TaskEffect.StopRun stop) {
    FakeWorker worker = lab.workerNamed(stop.worker().value());
    if (node.networkUp && worker.hears) {
      worker.stop(stop.run());
    }
  }

  private static void dispatch(Lab lab, Node node, RequestEffect.Dispatch order) {
    FakeEndpoint endpoint = lab.endpointNamed(order.endpoint().value());
    if (lab.now() >= order.validUntil() || !endpoint.reachable || !node.networkUp) {
      lab.after(1, () -> node.accept(new RequestEvent.EndpointFailed(order.attempt(), false)));
      return;
    }
    lab.order(
        node,
        () -> {
          endpoint.run(order.attempt(), order.body().text());
          lab.after(endpoint.millis, () -> finish(lab, node, endpoint, order));
        });
  }

  private static void finish(
      Lab lab, Node node, FakeEndpoint endpoint, RequestEffect.Dispatch order) {
    endpoint.finish(order.attempt());
    boolean arrives = endpoint.answers && node.networkUp;
    Payload body = Payload.of("answer to " + order.body().text());
    lab.after(
        1,
        () ->
            node.accept(
                arrives
                    ? new RequestEvent.EndpointAnswered(order.attempt(), endpoint.status, body)
                    : new RequestEvent.EndpointFailed(order.attempt(), true)));
  }
}
