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

/** Platform, workers and endpoints of all data centres, on loopback addresses of their own. */
public final class World implements AutoCloseable {

  private static final int PER_RACK = 6;

  private final Ledger ledger = new Ledger();
  private final Map<String, WorkerStandIn> workers = new LinkedHashMap<>();
  private final Map<String, EndpointStandIn> endpoints = new LinkedHashMap<>();
  private final List<MemberInfo> members = new CopyOnWriteArrayList<>();
  private final Set<String> leaving = ConcurrentHashMap.newKeySet();
  private final PlatformStandIn platform;

  /**
   * What there is to be.
   *
   * @param dataCentres their names, in the order of the platform's ports
   * @param storePort the platform's port for the first data centre; the others follow
   * @param workers in each data centre
   * @param endpoints in each data centre
   * @param slots of each endpoint
   * @param serviceMillis how long a request takes
   * @param capacity of each worker
   */
  public record Plan(
      List<String> dataCentres,
      int storePort,
      int workers,
      int endpoints,
      int slots,
      long serviceMillis,
      Demand capacity) {}

  /** Starts everything. */
  public World(EventLoopGroup group, Plan plan) {
    plan.dataCentres().forEach(dataCentre -> populate(group, plan, dataCentre));
    Map<String, Address> addresses = new LinkedHashMap<>();
    IntStream.range(0, plan.dataCentres().size())
        .forEach(
            i ->
                addresses.put(
                    plan.dataCentres().get(i),
                    new Address("127.0.0.1", plan.storePort() == 0 ? 0 : plan.storePort() + i)));
    platform = new PlatformStandIn(group, addresses, this::members);
  }

  private void populate(EventLoopGroup group, Plan plan, String dataCentre) {
    Address any = new Address("127.0.0.1", 0);
    for (int i = 0; i < plan.workers(); i++) {
      String name = dataCentre + "-w" + i;
      WorkerStandIn worker = new WorkerStandIn(group, any, name, plan.capacity(), ledger);
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
              "rack-" + i / PER_RACK));
    }
    for (int i = 0; i < plan.endpoints(); i++) {
      String name = dataCentre + "-e" + i;
      EndpointStandIn endpoint =
          new EndpointStandIn(group, any, name, plan.slots(), plan.serviceMillis(), ledger);
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

  /** Lists another world's instances in place of its own, as a wrong platform would. */
  public void adoptMembersOf(World other) {
    members.clear();
    members.addAll(other.members);
  }

  /** Marks a worker or an endpoint as leaving in the platform's list. */
  public void leaving(String name) {
    leaving.add(name);
  }

  /** Returns the ledger. */
  public Ledger ledger() {
    return ledger;
  }

  /** Returns the platform. */
  public PlatformStandIn platform() {
    return platform;
  }

  /** Returns the workers by name. */
  public Map<String, WorkerStandIn> workers() {
    return workers;
  }

  /** Returns the endpoints by name. */
  public Map<String, EndpointStandIn> endpoints() {
    return endpoints;
  }

  @Override
  public void close() {
    platform.close();
    Stream.concat(workers.values().stream(), endpoints.values().stream())
        .forEach(World::closeQuietly);
  }

  private static void closeQuietly(AutoCloseable closeable) {
    try {
      closeable.close();
    } catch (Exception e) {
      throw new IllegalStateException("a stand-in did not close", e);
    }
  }
}
