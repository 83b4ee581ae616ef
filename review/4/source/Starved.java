import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Short tasks bound to one rack, after that rack and the leading machine were lost together. */
public final class Starved {

  private static final int RUNNERS = 64;
  private static final int RACK = 8;
  private static final int DURATION_MILLIS = 300;
  private static final int FINISH_MILLIS = 14_000;

  private static int next;

  public static void main(String[] args) throws Exception {
    Deployment.run(args[0], Starved::play);
  }

  private static String submit(Deployment deployment, Entry to) throws Exception {
    String id = Deployment.id(next++);
    String body =
        Deployment.job(
            "work",
            Map.of(
                "count", 2, "cpu", 1_000, "mem_mb", 256, "estimate_ms", DURATION_MILLIS,
                "required_label", "r1-0"));
    return deployment.call(to, "POST", "/lohu930/" + id, body).status() == 200 ? id : "";
  }

  private static int play(Deployment deployment) throws Exception {
    Runner.Site site =
        new Runner.Site(deployment.store, "huvo11a", "a", 16_000, task -> DURATION_MILLIS);
    for (int i = 0; i < RUNNERS; i++) {
      deployment.addRunner(site, "i-" + i, List.of("a", "r1-" + i / RACK));
    }
    deployment.queue(new Deployment.Queue("r-3hwrr6x", "/lohu930/", "huvo11a", 0, 4));
    deployment.config();
    deployment.startEntries(4, List.of("a", "b"));
    Entry leader = deployment.leader();
    List<Runner> rack = deployment.runners.subList(0, RACK);
    long from = Rec.millis();
    for (int i = 0; i < 40; i++) {
      submit(deployment, deployment.other(leader));
      Rec.until(from + 100 * i);
    }
    if (Deployment.troubled()) {
      // The rack and the leading machine lose power. The store drops the entries of the runners
      // after three intervals of 1.1 s without a ping. All are back within 4.5 s.
      Rec.log("the rack is lost");
      rack.forEach(Runner::crash);
      leader.kill();
      Thread.sleep(3_300);
      rack.forEach(Runner::expire);
      leader.start();
      Thread.sleep(700);
      for (Runner runner : rack) {
        runner.start();
      }
      Rec.log("the rack is back");
    }
    Thread.sleep(4_000);
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      String id = submit(deployment, deployment.other(leader));
      if (!id.isEmpty()) {
        jobs.add(id);
      }
      Thread.sleep(200);
    }
    if (jobs.isEmpty()) {
      Rec.log("no submission was accepted");
      return 2;
    }
    Rec.log("end of the traffic");
    Thread.sleep(FINISH_MILLIS);
    // The runners are sound and all but idle. Within the next 3 s each submission has to run.
    Thread.sleep(3_000);
    int broken = 0;
    for (String id : jobs) {
      deployment.call(deployment.other(leader), "GET", "/lohu930/" + id, "");
      broken += Starts.starts(id).isEmpty() ? 1 : 0;
    }
    Rec.log("submissions that never began: " + broken + " of " + jobs.size());
    return broken > 0 ? 1 : 0;
  }
}
