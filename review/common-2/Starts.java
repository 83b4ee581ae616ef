import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What the runners have begun and ended, over all of them. */
final class Starts {

  record Start(String task, int run, String runner, long atMillis) {}

  record Done(String task, int run, String runner, String how, long atMillis) {}

  private static final List<Start> STARTS = new ArrayList<>();
  private static final List<Done> ENDS = new ArrayList<>();

  private static final List<String> REFUSED = new ArrayList<>();

  private Starts() {}

  static synchronized void refuse(String task) {
    REFUSED.add(task);
  }

  /** Returns whether a runner has refused a start of a job. */
  static synchronized boolean refused(String job) {
    return REFUSED.stream().anyMatch(task -> task.startsWith(job));
  }

  static synchronized void started(String task, int run, String runner) {
    STARTS.add(new Start(task, run, runner, Rec.millis()));
  }

  static synchronized void ended(String task, int run, String runner, String how) {
    ENDS.add(new Done(task, run, runner, how, Rec.millis()));
  }

  static synchronized List<Start> starts(String job) {
    return STARTS.stream().filter(start -> start.task().startsWith(job)).toList();
  }

  static synchronized List<Done> ends(String job) {
    return ENDS.stream().filter(end -> end.task().startsWith(job)).toList();
  }

  /** Returns how many runs each task of a job ended as done. */
  static synchronized Map<String, Integer> done(String job) {
    Map<String, Integer> done = new HashMap<>();
    ENDS.stream()
        .filter(end -> end.task().startsWith(job) && end.how().equals("done"))
        .forEach(end -> done.merge(end.task(), 1, Integer::sum));
    return done;
  }
}
