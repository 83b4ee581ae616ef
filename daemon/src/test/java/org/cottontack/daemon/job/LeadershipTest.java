package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cottontack.core.job.Capacity;
import org.cottontack.core.job.LeaderLease;
import org.cottontack.core.peer.Payload;
import org.testng.annotations.Test;

/** Tests of the election of a leader through the store. */
public class LeadershipTest {

  private static final Capacity SMALL = new Capacity(360, 10_000);
  private static final Capacity LARGE = new Capacity(1_500, 200_000);

  private static final class Candidate implements Leadership.Listener {
    final VirtualTimers.View timers;
    final Leadership leadership;
    final List<String> events = new ArrayList<>();
    boolean reachesStore = true;
    boolean begins = true;
    String hidden = "nowhere";

    Candidate(VirtualTimers time, FakeTableStore store, Instance instance, int life) {
      timers = time.process();
      TableStore seen = store.seenBy(timers, call -> reachesStore);
      leadership = new Leadership(seen, timers, instance, instance.name() + "/" + life, this);
      leadership.start();
    }

    @Override
    public void won(long epoch) {
      events.add("won " + epoch);
      if (begins) {
        leadership.begin();
      }
    }

    @Override
    public void lost() {
      events.add("lost");
    }

    @Override
    public boolean mayMakeWay(String dataCentre) {
      return !dataCentre.equals(hidden);
    }
  }

  private static final class Lab {
    final VirtualTimers time = new VirtualTimers();
    final FakeTableStore store = new FakeTableStore(time);

    Candidate candidate(String name, int life) {
      return candidate(name, life, "dc");
    }

    Candidate candidate(String name, int life, String dataCentre) {
      return candidate(new Instance(name, dataCentre, SMALL), life);
    }

    Candidate candidate(Instance instance, int life) {
      return new Candidate(time, store, instance, life);
    }
  }

  /** Who leads. */
  public static class Electing {

    @Test
    public void exactlyOneOfManyLeads() {
      Lab lab = new Lab();
      List<Candidate> all =
          List.of(lab.candidate("a", 1), lab.candidate("b", 1), lab.candidate("c", 1));
      lab.time.run(10_000);
      assertEquals(all.stream().filter(c -> c.leadership.leading()).count(), 1);
      assertEquals(all.stream().mapToInt(c -> c.events.size()).sum(), 1);
    }

    /**
     * The takeover is in the store, its answer lost. The winner looks, finds its name, and leads.
     */
    @Test
    public void leadsThoughTheAnswerWasLost() {
      Lab lab = new Lab();
      boolean[] first = {true};
      lab.store.fate =
          change -> {
            FakeTableStore.Fate fate =
                first[0] ? FakeTableStore.Fate.ANSWER_LOST : FakeTableStore.Fate.GOOD;
            first[0] = false;
            return fate;
          };
      Candidate only = lab.candidate("a", 1);
      lab.time.run(4_000);
      assertTrue(only.leadership.leading());
      assertEquals(only.events, List.of("won 1"));
    }
  }

  /** Leaders that have much to do. */
  public static class Busy {

    /**
     * After a takeover hundreds of answers and a long decision keep the leader's event loop, and
     * its timers come 2 s late. It renews between two pieces of work all the same; by its timers
     * alone it would lose the lease, and the next leader would have the same rush.
     */
    @Test
    public void renewsBetweenPiecesOfWork() {
      Lab lab = new Lab();
      final Candidate first = lab.candidate("a", 1);
      lab.time.run(1_000);
      final Candidate second = lab.candidate("b", 1);
      lab.time.run(1_000);
      first.timers.lateMillis = 2_000;
      for (int i = 0; i < 20; i++) {
        lab.time.run(900);
        first.leadership.renewIfDue();
      }
      assertEquals(first.events, List.of("won 1"));
      assertEquals(second.events, List.of());
    }

    /** What asks often for a renewal causes no more of them than the timer does. */
    @Test
    public void renewsNoMoreOftenThanDue() {
      Lab lab = new Lab();
      int[] commits = {0};
      lab.store.fate =
          change -> {
            commits[0]++;
            return FakeTableStore.Fate.GOOD;
          };
      Candidate only = lab.candidate("a", 1);
      for (int i = 0; i < 1_000; i++) {
        lab.time.run(10);
        only.leadership.renewIfDue();
      }
      assertTrue(commits[0] <= 21, "commits in 10 s: " + commits[0]);
    }
  }

  /** Changes of leader. */
  public static class TakingOver {

    /**
     * The leader is killed. Another instance leads soon, but not before the lease has ended: until
     * then orders that the dead leader sent may still be carried out.
     */
    @Test
    public void waitsForTheLeaseOfAnotherInstance() {
      Lab lab = new Lab();
      Candidate first = lab.candidate("a", 1);
      lab.time.run(1_000);
      final Candidate second = lab.candidate("b", 1);
      lab.time.run(3_000);
      first.timers.killed = true;
      lab.time.run(LeaderLease.LEASE_MILLIS - 600);
      assertFalse(second.leadership.leading());
      lab.time.run(2_000);
      assertTrue(second.leadership.leading());
      assertEquals(second.events, List.of("won 2"));
    }

    /** All instances lose power and come back; the last leader's next life leads at once. */
    @Test
    public void doesNotWaitForItsOwnLastLife() {
      Lab lab = new Lab();
      Candidate first = lab.candidate("a", 1);
      lab.time.run(1_000);
      first.timers.killed = true;
      Candidate next = lab.candidate("a", 2);
      lab.time.run(300);
      assertTrue(next.leadership.leading());
    }

    /**
     * The leader loses the store while others have it. It stops to start work before another can
     * lead, and steps down when it reaches the store again.
     */
    @Test
    public void leadersWithoutTheStoreStopInTime() {
      Lab lab = new Lab();
      Candidate first = lab.candidate("a", 1);
      lab.time.run(1_000);
      final Candidate second = lab.candidate("b", 1);
      lab.time.run(1_000);
      first.reachesStore = false;
      for (int i = 0; i < 600; i++) {
        lab.time.run(10);
        assertFalse(first.leadership.mayStart() && second.leadership.mayStart());
      }
      assertTrue(second.leadership.leading());
      first.reachesStore = true;
      lab.time.run(3_000);
      assertEquals(first.events, List.of("won 1", "lost"));
    }

    /**
     * The leader is cut off from most workers and gives the lead away. Its neighbour, which is
     * first to hear of it, leaves it to an instance of another data centre.
     */
    @Test
    public void handsOverToAnotherDataCentre() {
      Lab lab = new Lab();
      final Candidate first = lab.candidate("a", 1, "cut");
      lab.time.run(1_000);
      final Candidate near = lab.candidate("b", 1, "cut");
      lab.time.run(1_000);
      final Candidate far = lab.candidate("c", 1, "open");
      lab.time.run(1_000);
      first.leadership.handOver("cut off");
      lab.time.run(400);
      assertTrue(far.leadership.leading());
      lab.time.run(4_000);
      assertEquals(near.events, List.of());
      assertEquals(first.events, List.of("won 1", "lost"));
    }

    /**
     * Most workers are gone for good and no other instance lives. Were the lead given away again
     * and again, nobody would lead for a third of the time, and what still runs would get nothing.
     */
    @Test
    public void doesNotHandOverAgainSoon() {
      Lab lab = new Lab();
      Candidate only = lab.candidate("a", 1, "cut");
      lab.time.run(1_000);
      only.leadership.handOver("cut off");
      lab.time.run(5_000);
      only.leadership.handOver("cut off");
      assertTrue(only.leadership.leading());
      lab.time.run(30_000);
      only.leadership.handOver("cut off");
      assertFalse(only.leadership.leading());
    }

    /** No other data centre has an instance: the old leader leads again soon. */
    @Test
    public void leadsAgainWhenNobodyElseDoes() {
      Lab lab = new Lab();
      Candidate only = lab.candidate("a", 1, "cut");
      lab.time.run(1_000);
      only.leadership.handOver("cut off");
      lab.time.run(3_000);
      assertTrue(only.leadership.leading());
    }

    /**
     * The leader's name begins like the word that a lease given back holds. It leads all the same;
     * taken for nobody, it would lose the lead to each instance that looks, again and again.
     */
    @Test
    public void holdsTheLeaseWhateverItsName() {
      Lab lab = new Lab();
      Candidate first = lab.candidate("freeport-1", 1);
      lab.time.run(1_000);
      Candidate second = lab.candidate("b", 1);
      lab.time.run(5_000);
      assertTrue(first.leadership.leading());
      assertEquals(second.events, List.of());
    }

    /** The leader is told to stop and gives its lease back; the next one need not wait for it. */
    @Test
    public void followsAtOnceWhenTheLeaderLeaves() {
      Lab lab = new Lab();
      Candidate first = lab.candidate("a", 1);
      lab.time.run(1_000);
      final Candidate second = lab.candidate("b", 1);
      lab.time.run(1_000);
      first.leadership.leave(() -> first.events.add("left"));
      lab.time.run(300);
      assertEquals(first.events, List.of("won 1", "left"));
      assertTrue(second.leadership.leading());
    }
  }

  /** Instances of different sizes. */
  public static class Sizes {

    private static Candidate with(Lab lab, String name, String dataCentre, Capacity capacity) {
      return lab.candidate(new Instance(name, dataCentre, capacity), 1);
    }

    /**
     * The leader, a large instance, is killed. Small ones and a large one watch the lease; the
     * large one leads next. A small one would read the open jobs for seconds, start too little
     * meanwhile, and could lose the lease under the load.
     */
    @Test
    public void largerInstancesLeadNext() {
      for (int round = 0; round < 20; round++) {
        Lab lab = new Lab();
        final Candidate first = with(lab, "a", "dc", LARGE);
        lab.time.run(1_000);
        with(lab, "b", "dc", SMALL);
        final Candidate large = with(lab, "c", "dc", LARGE);
        lab.time.run(3_000);
        first.timers.killed = true;
        lab.time.run(3_500);
        assertTrue(large.leadership.leading());
        assertEquals(large.events, List.of("won 2"));
      }
    }

    /**
     * A small instance leads since no other lived. A large one starts, and soon has the lead: what
     * the small one cannot carry would wait until its term ends some day.
     */
    @Test
    public void smallLeadersMakeWayForLargerInstances() {
      Lab lab = new Lab();
      final Candidate small = with(lab, "a", "dc", SMALL);
      lab.time.run(1_000);
      Candidate large = with(lab, "b", "dc", LARGE);
      lab.time.run(2_000);
      assertTrue(large.leadership.leading());
      lab.time.run(40_000);
      assertEquals(small.events, List.of("won 1", "lost"));
      assertEquals(large.events, List.of("won 2"));
    }

    /**
     * The last leader was large, and only small instances are left. One of them leads, later by the
     * head start alone; were it to wait for larger ones, nobody would lead.
     */
    @Test
    public void smallInstancesLeadWhenNoLargerOneLives() {
      Lab lab = new Lab();
      final Candidate first = with(lab, "a", "dc", LARGE);
      lab.time.run(1_000);
      final Candidate small = with(lab, "b", "dc", SMALL);
      lab.time.run(3_000);
      first.timers.killed = true;
      lab.time.run(3_200);
      assertTrue(small.leadership.leading());
    }

    /** Of equal instances none asks for the lead: the rows stay as the election wrote them. */
    @Test
    public void equalInstancesLeaveTheLeaderAlone() {
      Lab lab = new Lab();
      final Candidate first = with(lab, "a", "dc", SMALL);
      lab.time.run(1_000);
      with(lab, "b", "dc", SMALL);
      lab.time.run(40_000);
      assertEquals(first.events, List.of("won 1"));
      assertFalse(lab.store.table(JobTables.LEADER).containsKey("request"));
    }

    /**
     * A large instance asks from a data centre that the leader does not reach. Given the lead, it
     * might reach the store and few workers. It gets the lead once the cut has healed.
     */
    @Test
    public void keepsTheLeadFromInstancesThatMayBeCutOff() {
      Lab lab = new Lab();
      final Candidate small = with(lab, "a", "open", SMALL);
      lab.time.run(1_000);
      small.hidden = "cut";
      final Candidate large = with(lab, "b", "cut", LARGE);
      lab.time.run(5_000);
      assertEquals(small.events, List.of("won 1"));
      small.hidden = "nowhere";
      lab.time.run(1_500);
      assertTrue(large.leadership.leading());
    }

    /**
     * A large leader was cut off and gave the lead away; only a small instance lives elsewhere.
     * Were the lead asked back at once, it would come and go for as long as the cut lasts.
     */
    @Test
    public void doesNotAskSoonAfterLeadersWereCutOff() {
      Lab lab = new Lab();
      Candidate large = with(lab, "a", "cut", LARGE);
      lab.time.run(1_000);
      final Candidate small = with(lab, "b", "open", SMALL);
      lab.time.run(1_000);
      large.leadership.handOver("cut off");
      with(lab, "c", "cut", LARGE);
      lab.time.run(25_000);
      assertEquals(small.events, List.of("won 2"));
      lab.time.run(10_000);
      assertEquals(small.events, List.of("won 2", "lost"));
    }

    /**
     * A small leader makes way, and the instance that asked dies before it has the lead. Another
     * one leads soon, the old leader if need be.
     */
    @Test
    public void leadsAgainWhenTheInstanceThatAskedHasDied() {
      Lab lab = new Lab();
      final Candidate small = with(lab, "a", "dc", SMALL);
      lab.time.run(1_000);
      small.hidden = "dc";
      Candidate large = with(lab, "b", "dc", LARGE);
      lab.time.run(1_000);
      large.timers.killed = true;
      small.hidden = "nowhere";
      lab.time.run(2_000);
      assertEquals(small.events, List.of("won 1", "lost", "won 2"));
    }

    /**
     * A large instance has asked a small leader, which dies before it answers. Small instances
     * leave the next term to large ones; one of them would only be asked again.
     */
    @Test
    public void standsBackForInstancesThatAskedInVain() {
      for (int round = 0; round < 20; round++) {
        Lab lab = new Lab();
        final Candidate first = with(lab, "a", "dc", SMALL);
        lab.time.run(1_000);
        first.hidden = "dc";
        final Candidate large = with(lab, "b", "dc", LARGE);
        with(lab, "c", "dc", SMALL);
        lab.time.run(3_000);
        first.timers.killed = true;
        lab.time.run(3_500);
        assertEquals(large.events, List.of("won 2"));
      }
    }

    /**
     * A small leader has not answered a request when its process ends; its next life leads at once.
     * It is asked anew: the request on file was for the term before.
     */
    @Test
    public void asksAgainInTheNextTerm() {
      Lab lab = new Lab();
      final Candidate small = with(lab, "a", "dc", SMALL);
      lab.time.run(1_000);
      small.hidden = "dc";
      final Candidate large = with(lab, "b", "dc", LARGE);
      lab.time.run(2_000);
      small.timers.killed = true;
      Candidate next = lab.candidate(new Instance("a", "dc", SMALL), 2);
      lab.time.run(2_500);
      assertEquals(next.events, List.of("won 2", "lost"));
      assertEquals(large.events, List.of("won 3"));
    }

    /**
     * A row beside the lease holds what no instance can have written there. The watch goes on, and
     * an instance leads when the leader dies; were it to end, nobody would ever lead again.
     */
    @Test
    public void watchesOnBesideRowsThatCannotBeRead() {
      Lab lab = new Lab();
      final Candidate first = with(lab, "a", "dc", SMALL);
      lab.time.run(1_000);
      final Candidate next = with(lab, "b", "dc", LARGE);
      Map<RowKey, Payload> odd =
          Map.of(
              Succession.REQUEST, Payload.of("x 1 2 dc"), Succession.CAPACITY, Payload.of("x 1"));
      TableStore other = lab.store.seenBy(lab.time.process(), call -> true);
      other.commit(new Change(Map.of(), odd, List.of()), 1_000, answer -> {});
      lab.time.run(3_000);
      first.timers.killed = true;
      lab.time.run(3_500);
      assertEquals(next.events, List.of("won 2"));
    }
  }

  /** How long a leader waits for the leases that leaders before it gave to workers. */
  public static class Inheriting {

    private static final RowKey LEASE = new RowKey(JobTables.LEADER, "leader", "lease");

    /** The last renewal came at most 0.5 s before the death, and news of it 20 ms later. */
    private static void assertCountedFrom(long death, Candidate next) {
      assertTrue(next.leadership.leading());
      long after = next.leadership.inheritedLapseMillis() - death;
      assertTrue(after <= LeaderLease.GRANT_MILLIS + 20, "after " + after);
      assertTrue(after >= LeaderLease.GRANT_MILLIS - 500, "after " + after);
    }

    private static void assertWaitsFor(long given, Candidate next) {
      assertTrue(next.leadership.leading());
      long lapse = next.leadership.inheritedLapseMillis();
      assertTrue(lapse >= given, "too early by " + (given - lapse));
    }

    private static long lastGiven(Candidate leader) {
      return leader.leadership.renewal().mono() + LeaderLease.GRANT_MILLIS;
    }

    /**
     * The leader is killed with tasks on a worker that nobody reaches any more. The next one counts
     * the longest lease that this worker may hold from the dead leader's last renewal: counted from
     * the beginning of its own term, lasting tasks stayed away for 17 s.
     */
    @Test
    public void countsInheritedLeasesFromTheLastRenewal() {
      Lab lab = new Lab();
      Candidate first = lab.candidate("a", 1);
      lab.time.run(1_000);
      final Candidate second = lab.candidate("b", 1);
      lab.time.run(3_000);
      first.timers.killed = true;
      final long death = second.timers.now().mono();
      lab.time.run(4_000);
      assertCountedFrom(death, second);
    }

    /**
     * All instances are killed, and one is back 3 s later. It counts inherited leases from the dead
     * leader's last renewal, by the store's clock, and not from its own first look.
     */
    @Test
    public void countsInheritedLeasesFromBeforeItsOwnLife() {
      Lab lab = new Lab();
      Candidate first = lab.candidate("a", 1);
      lab.time.run(4_000);
      first.timers.killed = true;
      final long death = lab.time.process().now().mono();
      lab.time.run(3_000);
      Candidate next = lab.candidate("b", 1);
      lab.time.run(4_000);
      assertCountedFrom(death, next);
    }

    /**
     * A leader of an older version, whose leases last longer and whose row does not say so, is
     * replaced. Its successor and the next one wait for its leases all the same.
     */
    @Test
    public void waitsForLongerLeasesOfAnOlderVersion() {
      Lab lab = new Lab();
      RowKey row = new RowKey(JobTables.LEADER, "leader", "lease");
      Change old = new Change(Map.of(), Map.of(row, Payload.of("old/1 17")), List.of());
      lab.store.seenBy(lab.time.process(), call -> true).commit(old, 1_000, answer -> {});
      lab.time.run(100);
      Candidate first = lab.candidate("a", 1);
      final long seen = first.timers.now().mono();
      lab.time.run(4_000);
      assertTrue(first.leadership.leading());
      long lapse = first.leadership.inheritedLapseMillis();
      assertTrue(lapse >= seen + LeaseText.UNSTATED_GRANT_MILLIS, "after " + (lapse - seen));
      final Candidate second = lab.candidate("b", 1);
      first.leadership.leave(() -> {});
      lab.time.run(500);
      assertTrue(second.leadership.leading());
      assertTrue(second.leadership.inheritedLapseMillis() >= lapse);
    }

    /**
     * A renewal gets no answer and is carried out 3 s later, after newer ones. Then the leader is
     * killed. The row says what that old renewal said; the next leader must not take it for the
     * last one, or tasks on a worker that it does not reach would run twice for 2.5 s.
     */
    @Test
    public void lateRenewalsSayNoOldTime() {
      Lab lab = new Lab();
      Candidate first = lab.candidate("a", 1);
      lab.time.run(1_000);
      final Candidate second = lab.candidate("b", 1);
      lab.time.run(3_000);
      long[] at = {0};
      lab.store.fate =
          change -> {
            if (at[0] == 0 && change.writes().containsKey(LEASE)) {
              at[0] = first.timers.now().mono();
              return FakeTableStore.Fate.LATE;
            }
            return FakeTableStore.Fate.GOOD;
          };
      while (at[0] == 0) {
        lab.time.run(1);
      }
      lab.time.run(at[0] + 2_990 - first.timers.now().mono());
      assertTrue(first.leadership.leading());
      final long given = lastGiven(first);
      first.timers.killed = true;
      lab.time.run(5_000);
      assertWaitsFor(given, second);
    }

    /**
     * A takeover gets no answer; later attempts at the same epoch are refused, and the last finds
     * the first in the store, carried out 3 s late. The lease counts from the first: counted from
     * the last it would outlive what the row says by 3 s.
     */
    @Test
    public void lateTakeoversCountFromTheFirstAttempt() {
      Lab lab = new Lab();
      long[] at = {0};
      lab.store.fate =
          change -> {
            long now = lab.time.process().now().mono();
            if (!change.writes().containsKey(LEASE)) {
              return FakeTableStore.Fate.GOOD;
            }
            if (at[0] == 0) {
              at[0] = now;
              return FakeTableStore.Fate.LATE;
            }
            return now < at[0] + 2_990 ? FakeTableStore.Fate.REFUSED : FakeTableStore.Fate.GOOD;
          };
      Candidate first = lab.candidate("a", 1);
      while (!first.leadership.leading()) {
        lab.time.run(1);
      }
      lab.time.run(100);
      final long given = lastGiven(first);
      first.timers.killed = true;
      final Candidate second = lab.candidate("b", 1);
      lab.time.run(5_000);
      assertWaitsFor(given, second);
    }

    /**
     * A large leader dies together with a worker; a small one takes over and makes way to the large
     * one's next life before it has begun. It has given no leases, so the wait for the lost worker
     * goes on as it was.
     */
    @Test
    public void makingWayBeforeItBeganKeepsTheWait() {
      Lab lab = new Lab();
      final Candidate first = lab.candidate(new Instance("a", "dc", LARGE), 1);
      lab.time.run(1_000);
      final Candidate small = lab.candidate(new Instance("b", "dc", SMALL), 1);
      small.begins = false;
      lab.time.run(3_000);
      first.timers.killed = true;
      final long death = small.timers.now().mono();
      lab.time.run(3_100);
      assertTrue(small.leadership.leading());
      Candidate next = lab.candidate(new Instance("a", "dc", LARGE), 2);
      lab.time.run(2_000);
      assertCountedFrom(death, next);
    }
  }
}
