package org.cottontack.standin.experiment;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cottontack.adapters.json.Json;

/**
 * Command line entry point: runs one experiment. The last line of output is one JSON object with
 * the figures.
 */
public final class Main {

  private static final String EXPERIMENTS =
      "path     p99 through an entry instance against p99 straight to the endpoint\n"
          + "urgent   time from submission to start at a steady rate\n"
          + "sharing  how evenly and stably members share resources";

  @Parameter(names = "--help", help = true, description = "Show this help.")
  private boolean help;

  @Parameter(names = "--seconds", description = "How long each part is measured.")
  private double seconds = 10;

  @Parameter(names = "--load", description = "path: share of the endpoints' capacity.")
  private double load = 0.5;

  @Parameter(description = "list, or the name of an experiment")
  private List<String> arguments = new ArrayList<>();

  private Main() {}

  /** Runs the command. */
  public static void main(String[] args) {
    Main main = new Main();
    JCommander commander =
        JCommander.newBuilder().programName("experiment.sh").addObject(main).build();
    try {
      commander.parse(args);
      Runtime.getRuntime().halt(main.run(commander));
    } catch (ParameterException e) {
      System.err.println("experiment.sh: " + e.getMessage());
      Runtime.getRuntime().halt(2);
    }
  }

  private int run(JCommander commander) {
    if (help || arguments.isEmpty()) {
      commander.usage();
      return help ? 0 : 2;
    }
    Path workspace = Path.of("").toAbsolutePath();
    Map<String, Object> figures =
        switch (arguments.get(0)) {
          case "list" -> Map.of();
          case "path" -> PathExperiment.run(workspace, seconds, load);
          case "urgent" -> UrgentExperiment.run(workspace, seconds);
          case "sharing" -> SharingExperiment.run();
          default ->
              throw new ParameterException(
                  "no experiment is named " + arguments.get(0) + "; try: experiment.sh list");
        };
    System.out.println(figures.isEmpty() ? EXPERIMENTS : Json.write(figures));
    return 0;
  }
}
