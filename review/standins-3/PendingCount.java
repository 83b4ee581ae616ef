import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A submission that no runner has begun is missing from the number of pending submissions. */
final class PendingCount {
  private static final String ID = "5c0e7a21d94b36f8";
  private static final long VISIBLE_MILLIS = 3_000;
  private static final long GREY_MILLIS = 6_500;

  public static void main(String[] args) {
    Kit.run(args[0], PendingCount::run);
  }

  private static int run(Kit kit) throws Exception {
    kit.config(3, "svc", "q", "other");
    for (int i = 0; i < 12; i++) {
      kit.new Worker("w" + i, "svc", "zone-" + i % 3, 64_000, i == 0 ? "b" : "a", "r" + i % 3);
    }
    if (!kit.startNodes(3)) {
      return kit.notRun("the processes did not become ready");
    }
    Kit.Response first =
        kit.call(kit.nodes.get(0), "POST", "/other/00000000000000a1", Kit.submission(300, 12, 1000).toString());
    Kit.sleep(2_000);
    if (first.status() != 200) {
      return kit.notRun("the first submission was not accepted");
    }
    AtomicBoolean begun = new AtomicBoolean();
    AtomicInteger starts = new AtomicInteger();
    Kit.Worker special = kit.workers.get(0);
    special.listener = (event, task, run) -> begun.compareAndSet(false, event.equals("begun"));
    long greyUntil = Kit.millis() + GREY_MILLIS;
    if (kit.trouble) {
      kit.log("w0 is unhealthy for " + GREY_MILLIS + " ms");
      special.trouble =
          (path, body) -> {
            if (!path.equals("/-/run-start") || Kit.millis() >= greyUntil) {
              return Kit.Treat.NORMAL;
            }
            return starts.incrementAndGet() == 1 ? Kit.Treat.SILENT : Kit.Treat.UNHEALTHY;
          };
    }
    var job = Kit.submission(1_000, 1, 1000);
    ((com.fasterxml.jackson.databind.node.ObjectNode) job.path("steps").get(0))
        .put("required_label", "b");
    if (kit.call(kit.nodes.get(0), "POST", "/q/" + ID, job.toString()).status() != 200) {
      return kit.notRun("the submission was not accepted");
    }
    long accepted = Kit.millis();
    int wrong = 0;
    int asked = 0;
    Kit.sleep(VISIBLE_MILLIS + 2_000 + 200);
    while (Kit.millis() < greyUntil - 100 || (!kit.trouble && asked < 3)) {
      for (Kit.Node node : kit.nodes) {
        boolean before = begun.get();
        Kit.Response response = kit.call(node, "GET", "/q/", "");
        if (!before && !begun.get() && response.status() == 200) {
          asked++;
          wrong += 2 * response.json().path("pending").asInt() < 1 ? 1 : 0;
        } else if (begun.get()) {
          asked++;
        }
      }
      Kit.sleep(200);
    }
    kit.log("accepted " + (Kit.millis() - accepted) + " ms ago; asked " + asked + ", wrong " + wrong);
    return kit.verdict(wrong > 0, wrong + " of " + asked + " answers give no pending submission, and none of its tasks has begun");
  }
}
