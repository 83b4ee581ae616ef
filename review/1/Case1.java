import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Small submissions come all the time. With the disruption, one large submission comes among them.
 * Afterwards every accepted submission has to be complete, or at least have something at work.
 */
final class Case1 {

  private static final String PREFIX = "/pufi791/";
  private static final int ENTRIES = 7;
  private static final int RUNNERS = 32;
  private static final int RUNNER_CPU = 32_000;
  private static final int RUNNER_MEM_MB = 125_000;

  /** Checkpoints are strings of 36 characters. */
  private static final String CHECKPOINT_TAIL = "-a7c4e19b0d52f836ac1";

  private static final int STEPS = 5;
  private static final int WIDTH = 36;
  private static final int TIMES = 8;
  private static final long LARGE_AT_MILLIS = 6_000;
  private static final long TRAFFIC_MILLIS = 45_000;
  private static final long GAP_MILLIS = 400;
  private static final long FINISH_MILLIS = 14_000;
  private static final long IDLE_MILLIS = 3_000;

  private Case1() {}

  public static void main(String[] args) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit;
    try (Record record = new Record(Path.of(args[0]));
        Deployment deployment =
            new Deployment(
                record,
                ENTRIES,
                RUNNERS,
                new Runner.Setting(
                    Deployment.SERVICE, RUNNER_CPU, RUNNER_MEM_MB, 500, 100, CHECKPOINT_TAIL),
                Path.of(args[1]))) {
      deployment.config(List.of(Deployment.route("r-73d3zji", PREFIX, 2, 3)));
      exit = deployment.awaitReady() ? play(record, deployment, trouble) : 2;
      record.line("exit " + exit);
    } catch (RuntimeException e) {
      e.printStackTrace();
      exit = 2;
    }
    System.exit(exit);
  }

  private static String small() {
    return Json.write(
        Map.of("spec", "ms=700 small", "steps", List.of(step(2, 1_000, 700, List.of()))));
  }

  private static Map<String, Object> step(int count, int cpu, int estimate, List<Integer> after) {
    Map<String, Object> step = new LinkedHashMap<>();
    step.put("count", count);
    step.put("cpu", cpu);
    step.put("mem_mb", 256);
    step.put("estimate_ms", estimate);
    if (!after.isEmpty()) {
      step.put("after", after);
    }
    step.put("checkpoint", true);
    return step;
  }

  /** Returns a submission of the largest size that the site file has for its kinds. */
  private static String large(int steps, int width, int times) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("spec", "ms=900 large");
    List<Object> all = new ArrayList<>();
    for (int i = 0; i < steps; i++) {
      all.add(step(width, 500, 900, i == 0 ? List.of() : List.of(i - 1)));
    }
    body.put("steps", all);
    body.put("first_run_ms", System.currentTimeMillis());
    body.put("interval_ms", 1_500);
    body.put("repeat_count", times);
    return Json.write(body);
  }

  private static int play(Record record, Deployment deployment, boolean trouble) {
    List<String> accepted = new ArrayList<>();
    long begin = Record.millis();
    boolean largeSent = false;
    for (int i = 0; Record.millis() - begin < TRAFFIC_MILLIS; i++) {
      if (!largeSent && Record.millis() - begin >= LARGE_AT_MILLIS) {
        largeSent = true;
        String body = trouble ? large(STEPS, WIDTH, TIMES) : large(2, 8, 4);
        record.line("the large submission: " + body.length() + " bytes");
        if (deployment.submit(PREFIX, "00000000000000ff", body)) {
          accepted.add("00000000000000ff");
        }
      }
      String id = "%016x".formatted(0x1000 + i);
      if (deployment.submit(PREFIX, id, small())) {
        accepted.add(id);
      }
      Http.sleep(GAP_MILLIS);
    }
    record.line("the traffic ends; accepted " + accepted.size());
    Http.sleep(FINISH_MILLIS);
    return judge(record, deployment, accepted);
  }

  /**
   * LOST: an accepted submission isn't known, or has nothing running for 3 s while a task's turn has
   * come, there is room for it, and under half of the service's capacity is in use.
   */
  private static int judge(Record record, Deployment deployment, List<String> accepted) {
    List<String> open = new ArrayList<>();
    for (String id : accepted) {
      String state = deployment.state(PREFIX, id);
      if (!state.equals("complete")) {
        open.add(id);
      }
    }
    Map<String, Boolean> idle = new LinkedHashMap<>();
    open.forEach(id -> idle.put(id, true));
    int most = 0;
    for (long until = Record.millis() + IDLE_MILLIS; Record.millis() < until; Http.sleep(50)) {
      open.stream()
          .filter(id -> deployment.ledger.running(id) > 0)
          .forEach(id -> idle.put(id, false));
      most = Math.max(most, deployment.ledger.running());
    }
    long lost = idle.values().stream().filter(Boolean::booleanValue).count();
    record.line(
        ("accepted %d, not complete %d, of these without any run for 3 s %d; most tasks at work in"
                + " that time %d (room for more than %d); ends listed %d, acknowledged %d;"
                + " transactions that the store refused for a row's size: %d; processes alive %d")
            .formatted(
                accepted.size(),
                open.size(),
                lost,
                most,
                RUNNERS * RUNNER_CPU / 1_000,
                deployment.ledger.ended("done"),
                deployment.ledger.acknowledged("done"),
                deployment.store.refusedRows(),
                deployment.alive()));
    record.line("LOST " + (lost > 0 ? "broken" : "held"));
    return lost > 0 ? 1 : 0;
  }
}
