package org.cottontack.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/** The subcommands and their options. */
final class Commands {

  private Commands() {}

  /** Options of all commands that call an entry instance. */
  static class InstanceOptions {
    @Parameter(
        names = "--instance",
        description = "Operators' address of any entry instance, host:port.")
    String instance = "127.0.0.1:7201";

    @Parameter(names = "--json", description = "Print JSON.")
    boolean json;
  }

  @Parameters(commandDescription = "Show the status of one entry instance.")
  static final class Status extends InstanceOptions {}

  @Parameters(commandDescription = "List entry instances that hold a lease.")
  static final class Instances extends InstanceOptions {}

  @Parameters(commandDescription = "List live tasks of the instance's data centre.")
  static final class Tasks extends InstanceOptions {}

  @Parameters(commandDescription = "Show the metrics of one entry instance.")
  static final class Metrics extends InstanceOptions {}

  @Parameters(commandDescription = "Stop one entry instance gracefully.")
  static final class Drain extends InstanceOptions {}

  @Parameters(commandDescription = "Show events of one or more entry instances in causal order.")
  static final class TimelineCommand extends InstanceOptions {
    @Parameter(
        names = "--from",
        description = "Operators' addresses, separated by commas; all are merged.")
    List<String> from = new ArrayList<>();

    @Parameter(names = "--subject", description = "Only events about this task or request.")
    String subject = "";

    @Parameter(names = "--event", description = "Only events whose name starts with this text.")
    String event = "";
  }

  @Parameters(commandDescription = "Show from log files what the time of jobs was spent on.")
  static final class Explain {
    @Parameter(description = "FILE...: log files of all instances", required = true)
    List<String> files = new ArrayList<>();

    @Parameter(names = "--job", description = "One job's id; without it, a table of all.")
    String job = "";
  }

  @Parameters(
      commandDescription =
          "check FILE, diff FILE, apply FILE --expected N, history, or show: the table.")
  static final class Table extends InstanceOptions {
    @Parameter(description = "check|diff|apply|history|show [FILE]", required = true)
    List<String> arguments = new ArrayList<>();

    @Parameter(names = "--expected", description = "The version you edited.")
    long expected = -1;

    @Parameter(names = "--editor", description = "Name of the editor, kept in the history.")
    String editor = System.getProperty("user.name", "unknown");

    @Parameter(
        names = "--wait-for",
        description = "Operators' addresses, separated by commas, to wait for after apply.")
    List<String> waitFor = new ArrayList<>();

    @Parameter(names = "--wait-seconds", description = "Longest wait after apply.")
    int waitSeconds = 15;
  }
}
