package org.cottontack.standin;

import io.netty.channel.EventLoopGroup;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cottontack.adapters.Address;
import org.cottontack.core.fleet.MemberInfo;
import org.cottontack.core.fleet.MemberKind;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.task.Demand;
import org.cottontack.standin.endpoint.EndpointStandIn;
import org.cottontack.standin.ledger.Ledger;
import org.cottontack.standin.platform.PlatformStandIn;
import org.cottontack.standin.worker.WorkerStandIn;

/**
 * The stand-ins of the platform, workers and endpoints of all data centres. Each listens on its own
 * loopback address.
 */
public final class StandIns implements AutoCloseable {

  private static final int WORKERS_PER_RACK = 6;

  private final Ledger ledger = new Ledger();
  private final Map<String, WorkerStandIn> workers = new LinkedHashMap<>();
  private final Map<String, EndpointStandIn> endpoints = new LinkedHashMap<>();
  private final List<MemberInfo> members = new CopyOnWriteArrayList<>();
  private final Set<String> leaving = ConcurrentHashMap.newKeySet();
  private final PlatformStandIn platform;

  /**
   * The stand-ins to start.
   *
   * @param dataCentres names of the data centres, in the order of the platform's ports
   * @param storePort the platform's port for the first data centre; the other data centres use the
   *     ports after it. With 0 the system chooses a free port for each
   * @param workers number of workers in each data centre
   * @param endpoints number of endpoints in each data centre
   * @param slots number of slots of each endpoint
   * @param serviceMillis default duration of a request, in milliseconds
   * @param capacity resources of each worker
   */
  public record Plan(
      List<String> dataCentres,
      int storePort,
      int workers,
      int endpoints,
      int slots,
      long serviceMillis,
      Demand capacity) {}

  /** Starts all stand-ins of a plan. */
  public StandIns(EventLoopGroup group, Plan plan) {
    plan.dataCentres().forEach(dataCentre -> addInstances(group, plan, dataCentre));
    Map<String, Address> addresses = new LinkedHashMap<>();
    IntStream.range(0, plan.dataCentres().size())
        .forEach(
            i ->
                addresses.put(
                    plan.dataCentres().get(i),
                    new Address("127.0.0.1", plan.storePort() == 0 ? 0 : plan.storePort() + i)));
    platform = new PlatformStandIn(group, addresses, this::members);
  }

  private void addInstances(EventLoopGroup group, Plan plan, String dataCentre) {
    Address anyPort = new Address("127.0.0.1", 0);
    for (int i = 0; i < plan.workers(); i++) {
      String name = dataCentre + "-w" + i;
      WorkerStandIn worker = new WorkerStandIn(group, anyPort, name, plan.capacity(), ledger);
      workers.put(name, worker);
      members.add(
          new MemberInfo(
              MemberKind.WORKER,
              name,
              new DataCentreId(dataCentre),
              worker.address().toString(),
              false,
              0,
              plan.capacity(),
              "rack-" + i / WORKERS_PER_RACK));
    }
    for (int i = 0; i < plan.endpoints(); i++) {
      String name = dataCentre + "-e" + i;
      EndpointStandIn endpoint =
          new EndpointStandIn(group, anyPort, name, plan.slots(), plan.serviceMillis(), ledger);
      endpoints.put(name, endpoint);
      members.add(
          new MemberInfo(
              MemberKind.ENDPOINT,
              name,
              new DataCentreId(dataCentre),
              endpoint.address().toString(),
              false,
              plan.slots(),
              Demand.NONE,
              ""));
    }
  }

  private List<MemberInfo> members() {
    return members.stream().map(this::withLeaving).toList();
  }

  private MemberInfo withLeaving(MemberInfo member) {
    return new MemberInfo(
        member.kind(),
        member.name(),
        member.dataCentre(),
        member.address(),
        leaving.contains(member.name()),
        member.slots(),
        member.capacity(),
        member.rack());
  }

  /**
   * Replaces the instances that the platform lists by those of other stand-ins, as a misconfigured
   * platform would do.
   */
  public void replaceMembersWith(StandIns other) {
    members.clear();
    members.addAll(other.members);
  }

  /** Marks a worker or an endpoint as leaving in the platform's list of instances. */
  public void markLeaving(String name) {
    leaving.add(name);
  }

  /** Returns the ledger that all workers and endpoints write to. */
  public Ledger ledger() {
    return ledger;
  }

  /** Returns the stand-in of the platform. */
  public PlatformStandIn platform() {
    return platform;
  }

  /** Returns the worker stand-ins by name. */
  public Map<String, WorkerStandIn> workers() {
    return workers;
  }

  /** Returns the endpoint stand-ins by name. */
  public Map<String, EndpointStandIn> endpoints() {
    return endpoints;
  }

  @Override
  public void close() {
    platform.close();
    Stream.concat(workers.values().stream(), endpoints.values().stream())
        .forEach(StandIns::closeQuietly);
  }

  private static void closeQuietly(AutoCloseable closeable) {
    try {
      closeable.close();
    } catch (Exception e) {
      throw new IllegalStateException("cannot close a stand-in", e);
    }
  }
}
