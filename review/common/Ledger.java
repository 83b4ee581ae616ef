import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What the runners have seen, by task: starts, runs, ends and acknowledged ends. */
final class Ledger {

  /** A task as the runners saw it. */
  static final class Task {
    final String name;
    final Set<String> on = new HashSet<>();
    int starts;
    int crashes;
    final Map<String, Integer> ends = new TreeMap<>();

    Task(String name) {
      this.name = name;
    }

    @Override
    public String toString() {
      return name + " starts=" + starts + " crashes=" + crashes + " ends=" + ends;
    }
  }

  /** An end "done", with what followed it. */
  private static final class Done {
    final String runner;
    final int run;
    boolean lapsed;
    boolean acknowledged;
    int startsAfter;
    boolean reported;

    Done(String runner, int run) {
      this.runner = runner;
      this.run = run;
    }
  }

  private final Record record;
  private final Map<String, List<Done>> dones = new HashMap<>();
  private final List<String> twice = new ArrayList<>();
  private final Map<String, Task> tasks = new TreeMap<>();
  private final Map<String, Integer> acknowledged = new HashMap<>();

  Ledger(Record record) {
    this.record = record;
  }

  private Task task(String name) {
    return tasks.computeIfAbsent(name, Task::new);
  }

  synchronized void note(String text) {
    record.line(text);
  }

  /** Returns where TWICE was broken. */
  synchronized List<String> twice() {
    return List.copyOf(twice);
  }

  private void reportTwice(String text) {
    twice.add(text);
    record.line("TWICE " + text);
  }

  /** An end counts as taken note of when it is acknowledged, unless the lease lapsed before. */
  private void checkTwice(String name, Done done) {
    if (done.acknowledged && !done.lapsed && done.startsAfter > 0 && !done.reported) {
      done.reported = true;
      reportTwice(
          "%s started again after run %d on %s had ended done, which was acknowledged"
              .formatted(name, done.run, done.runner));
    }
  }

  /** Records that no lease is in force on a runner. */
  synchronized void lapsed(String runner) {
    dones.values().stream()
        .flatMap(List::stream)
        .filter(done -> done.runner.equals(runner) && !done.acknowledged)
        .forEach(done -> done.lapsed = true);
  }

  synchronized void runnerBegan(String runner) {
    record.line("runner " + runner + " begins");
  }

  synchronized void crashed(String runner, List<String> lost) {
    record.line("runner " + runner + " crashes, lost with it: " + lost);
    for (String name : lost) {
      Task task = task(name);
      task.crashes++;
      task.on.remove(runner);
    }
  }

  synchronized void started(String runner, String name, int run, String spec) {
    record.line("start " + name + " run " + run + " on " + runner);
    Task task = task(name);
    task.starts++;
    if (!task.on.isEmpty()) {
      reportTwice("%s runs on %s and on %s".formatted(name, runner, task.on));
    }
    for (Done done : dones.getOrDefault(name, List.of())) {
      done.startsAfter++;
      checkTwice(name, done);
    }
    task.on.add(runner);
  }

  synchronized void ended(String runner, String name, int run, String how) {
    record.line("end " + name + " run " + run + " on " + runner + ": " + how);
    Task task = task(name);
    task.on.remove(runner);
    task.ends.merge(how, 1, Integer::sum);
    if (how.equals("done")) {
      dones.computeIfAbsent(name, any -> new ArrayList<>()).add(new Done(runner, run));
    }
  }

  synchronized void acknowledged(String runner, String name, int run, String how) {
    record.line("ack of the end of " + name + " run " + run + " on " + runner + ": " + how);
    acknowledged.merge(how, 1, Integer::sum);
    for (Done done : dones.getOrDefault(name, List.of())) {
      if (done.runner.equals(runner) && done.run == run) {
        done.acknowledged = true;
        checkTwice(name, done);
      }
    }
  }

  /** Returns the tasks of a submission that any runner has seen. */
  synchronized List<Task> tasksOf(String job) {
    List<Task> found = new ArrayList<>();
    for (Task task : tasks.values()) {
      if (task.name.startsWith(job + ".")) {
        found.add(task);
      }
    }
    return found;
  }

  /** Returns how many tasks of a submission are running now. */
  synchronized int running(String job) {
    return (int) tasksOf(job).stream().filter(task -> !task.on.isEmpty()).count();
  }

  /** Returns how many tasks are running now on all runners. */
  synchronized int running() {
    return (int) tasks.values().stream().filter(task -> !task.on.isEmpty()).count();
  }

  synchronized int ended(String how) {
    return tasks.values().stream().mapToInt(task -> task.ends.getOrDefault(how, 0)).sum();
  }

  synchronized int acknowledged(String how) {
    return acknowledged.getOrDefault(how, 0);
  }
}
