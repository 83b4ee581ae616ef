import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A schedule whose first times have passed, beside submissions of another queue. */
public final class Schedule {

  private static final int TIMES = 43_200;
  private static final int INTERVAL_MILLIS = 60_000;
  private static final int OTHERS = 10;
  private static final int FINISH_MILLIS = 14_000;

  public static void main(String[] args) throws Exception {
    Deployment.run(args[0], Schedule::play);
  }

  private static int play(Deployment deployment) throws Exception {
    Runner.Site site = new Runner.Site(deployment.store, "huvo11a", "a", 16_000, task -> 500);
    for (int i = 0; i < 20; i++) {
      deployment.addRunner(site, "i-" + i, List.of("a", "r1-" + i / 8));
    }
    deployment.queue(new Deployment.Queue("r-73d3zji", "/pufi791/", "huvo11a", 2, 3));
    deployment.queue(new Deployment.Queue("r-3hwrr6x", "/lohu930/", "huvo11a", 0, 4));
    deployment.config();
    deployment.startEntries(4, List.of("a", "b"));
    Entry entry = deployment.other(deployment.leader());
    Map<String, Object> step =
        Map.of("count", 1, "cpu", 1_000, "mem_mb", 256, "estimate_ms", 500);
    if (Deployment.troubled()) {
      // Once a minute, since 30 days ago.
      Map<String, Object> schedule = new LinkedHashMap<>();
      schedule.put("spec", "work");
      schedule.put("steps", List.of(step));
      schedule.put("first_run_ms", System.currentTimeMillis() - (long) TIMES * INTERVAL_MILLIS);
      schedule.put("interval_ms", INTERVAL_MILLIS);
      schedule.put("repeat_count", TIMES);
      Deployment.Answer answer =
          deployment.call(
              entry, "POST", "/pufi791/" + Deployment.id(1), Json.write(schedule));
      if (answer.status() != 200) {
        Rec.log("the schedule was not accepted");
        return answer.status() == 0 ? 2 : 0;
      }
    }
    Thread.sleep(2_000);
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < OTHERS; i++) {
      String id = Deployment.id(10 + i);
      Entry to = deployment.entries.get(i % deployment.entries.size());
      if (deployment.call(to, "POST", "/lohu930/" + id, Deployment.job("work", step)).status()
          == 200) {
        jobs.add(id);
      }
      Thread.sleep(1_500);
      Rec.log("the leader is " + deployment.leader().name);
    }
    Rec.log("end of the traffic; accepted " + jobs.size() + " of " + OTHERS);
    Thread.sleep(FINISH_MILLIS);
    // Within the next 3 s each submission has to run, if room is free.
    int least = Integer.MAX_VALUE;
    int most = 0;
    long until = Rec.millis() + 3_000;
    while (Rec.millis() < until) {
      int running = deployment.runners.stream().mapToInt(Runner::count).sum();
      least = Math.min(least, running);
      most = Math.max(most, running);
      Thread.sleep(50);
    }
    Rec.log("tasks that ran in the last 3 s: " + least + " to " + most + " at once, of 320");
    long broken = 0;
    for (String id : jobs) {
      broken += Starts.starts(id).isEmpty() ? 1 : 0;
    }
    Rec.log("accepted submissions that never began: " + broken);
    for (Entry process : deployment.entries) {
      deployment.call(process, "GET", "/lohu930/" + Deployment.id(10), "");
    }
    return broken > 0 && most < 160 ? 1 : 0;
  }
}
