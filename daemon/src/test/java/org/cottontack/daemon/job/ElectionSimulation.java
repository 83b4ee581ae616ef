package org.cottontack.daemon.job;

import java.util.ArrayList;
import java.util.List;
import org.cottontack.core.admission.AdmissionLimits;
import org.cottontack.core.job.Capacity;

/** Candidates for leadership that share a store, in virtual time. */
final class ElectionSimulation {

  static final Capacity SMALL = new Capacity(360, 10_000);
  static final Capacity LARGE = new Capacity(1_500, 200_000);

  final VirtualTimers time = new VirtualTimers();
  final FakeTableStore store = new FakeTableStore(time);

  /** One candidate instance. */
  static final class Candidate implements Leadership.Listener {
    final VirtualTimers.View timers;
    final Leadership leadership;
    final List<String> events = new ArrayList<>();
    boolean reachesStore = true;
    boolean begins = true;
    String unreachableDataCentre = "nowhere";
    AdmissionLimits limits = AdmissionLimits.NONE;

    Candidate(VirtualTimers time, FakeTableStore store, Instance instance, int incarnation) {
      timers = time.process();
      TableStore seen = store.seenBy(timers, call -> reachesStore);
      leadership =
          new Leadership(seen, timers, instance, instance.name() + "/" + incarnation, this);
      leadership.start();
    }

    @Override
    public void won(long epoch) {
      events.add("won " + epoch);
      if (begins) {
        leadership.begin(() -> {});
      }
    }

    @Override
    public void lost() {
      events.add("lost");
    }

    @Override
    public boolean mayYieldLeadershipTo(String dataCentre) {
      return !dataCentre.equals(unreachableDataCentre);
    }

    @Override
    public AdmissionLimits admissionLimits() {
      return limits;
    }
  }

  Candidate candidate(String name, int incarnation) {
    return candidate(name, incarnation, "dc");
  }

  Candidate candidate(String name, int incarnation, String dataCentre) {
    return candidate(new Instance(name, dataCentre, SMALL), incarnation);
  }

  Candidate candidate(Instance instance, int incarnation) {
    return new Candidate(time, store, instance, incarnation);
  }
}
