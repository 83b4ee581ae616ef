package org.cottontack.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/** The sub-commands and their options. */
final class Commands {

  private Commands() {}

  /** Options that every command that asks an instance has. */
  static class Asking {
    @Parameter(
        names = "--instance",
        description = "Operators' address of any entry instance, host:port.")
    String instance = "127.0.0.1:7201";

    @Parameter(names = "--json", description = "Print JSON.")
    boolean json;
  }

  @Parameters(commandDescription = "Show how one entry instance is doing.")
  static final class Status extends Asking {}

  @Parameters(commandDescription = "List entry instances that hold a lease.")
  static final class Instances extends Asking {}

  @Parameters(commandDescription = "List live tasks of the instance's data centre.")
  static final class Tasks extends Asking {}

  @Parameters(commandDescription = "Show the metrics of one entry instance.")
  static final class Metrics extends Asking {}

  @Parameters(commandDescription = "Stop one entry instance gracefully.")
  static final class Drain extends Asking {}

  @Parameters(commandDescription = "Show events of one or more entry instances in causal order.")
  static final class TimelineCommand extends Asking {
    @Parameter(
        names = "--from",
        description = "Operators' addresses, separated by commas; all are merged.")
    List<String> from = new ArrayList<>();

    @Parameter(names = "--subject", description = "Only events about this task or request.")
    String subject = "";

    @Parameter(names = "--event", description = "Only events whose name starts so.")
    String event = "";
  }

  @Parameters(commandDescription = "Say from log files where the time of jobs went.")
  static final class Explain {
    @Parameter(description = "FILE...: log files of all instances", required = true)
    List<String> files = new ArrayList<>();

    @Parameter(names = "--job", description = "One job's id; without it, a table of all.")
    String job = "";
  }

  @Parameters(
      commandDescription =
          "check FILE, diff FILE, apply FILE --expected N, history, or show: the table.")
  static final class Table extends Asking {
    @Parameter(description = "check|diff|apply|history|show [FILE]", required = true)
    List<String> words = new ArrayList<>();

    @Parameter(names = "--expected", description = "The version you edited.")
    long expected = -1;

    @Parameter(names = "--editor", description = "Who edits; kept in the history.")
    String editor = System.getProperty("user.name", "unknown");

    @Parameter(
        names = "--wait-for",
        description = "Operators' addresses, separated by commas, to wait for after apply.")
    List<String> waitFor = new ArrayList<>();

    @Parameter(names = "--wait-seconds", description = "Longest wait after apply.")
    int waitSeconds = 15;
  }
}
