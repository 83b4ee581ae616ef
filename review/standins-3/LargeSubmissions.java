import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Accepted submissions never run after large submissions came at once. */
final class LargeSubmissions {
  private static final long FINISH_MILLIS = 14_000;
  private static final long BURST_MILLIS = 4_000;
  private static final int LARGE = 50;
  private static final int TASKS = 4_000;

  /** Tasks of the widest step of the site's classes. */
  private static final int USUAL_TASKS = 32;

  private static final int SMALL = 10;

  public static void main(String[] args) {
    Kit.run(args[0], LargeSubmissions::run);
  }

  private static int run(Kit kit) throws Exception {
    kit.config(3, "svc", "q", "archive:depot");
    Set<String> begun = ConcurrentHashMap.newKeySet();
    for (int i = 0; i < 12; i++) {
      String service = i < 2 ? "depot" : "svc";
      Kit.Worker worker = kit.new Worker("w" + i, service, "zone-" + i % 3, 64_000, "a", "r" + i % 3);
      worker.listener =
          (event, task, run) -> {
            if (event.equals("begun")) {
              begun.add(task.substring(0, 16));
            }
          };
    }
    if (!kit.startNodes(3)) {
      return kit.notRun("the processes did not become ready");
    }
    int accepted = 0;
    ObjectNode job = Kit.submission(2_000, kit.trouble ? TASKS : USUAL_TASKS, 4_000);
    long start = Kit.millis();
    for (int i = 0; i < LARGE; i++) {
      String path = String.format("/archive/a000000000000%03d", i);
      Kit.Response response = kit.call(kit.nodes.get(i % 3), "POST", path, job.toString());
      accepted += response.status() == 200 ? 1 : 0;
      Kit.sleep(start + (i + 1) * BURST_MILLIS / LARGE - Kit.millis());
    }
    kit.log(accepted + " of " + LARGE + " submissions of the burst were accepted");
    Kit.sleep(5_000);
    List<String> waiting = new ArrayList<>();
    for (int i = 0; i < SMALL; i++) {
      String id = String.format("b000000000000%03d", i);
      if (kit.call(kit.nodes.get(i % 3), "POST", "/q/" + id, Kit.submission(500, 1, 1_000).toString()).status() == 200) {
        waiting.add(id);
      }
      Kit.sleep(200);
    }
    int small = waiting.size();
    Kit.sleep(FINISH_MILLIS + 3_000);
    waiting.removeAll(begun);
    waiting.forEach(id -> kit.call(kit.nodes.get(0), "GET", "/q/" + id, ""));
    kit.log("leader " + kit.store.leader() + ", ready " + kit.nodes.stream().map(Kit.Node::ready).toList());
    return kit.verdict(
        !waiting.isEmpty(),
        waiting.size() + " of " + small + " accepted submissions have not begun although their service is idle");
  }
}
