package org.cottontack.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.cottontack.adapters.AdapterException;
import org.cottontack.daemon.settings.DaemonSettings;
import org.cottontack.daemon.settings.SettingsException;
import org.cottontack.daemon.settings.SettingsLoader;

/** The {@code cottontack} command. */
public final class Main {

  private static final int USAGE = 2;
  private static final int BAD_SETTINGS = 3;
  private static final int CANNOT_START = 4;
  private static final int NOT_GRACEFUL = 5;

  @Parameter(names = "--help", help = true, description = "Show this help.")
  private boolean help;

  private Main() {}

  @Parameters(commandDescription = "Run an entry instance until it is stopped.")
  private static final class Run {
    @Parameter(names = "--settings", required = true, description = "YAML settings file.")
    private String file;
  }

  @Parameters(commandDescription = "Check a settings file and list every fault.")
  private static final class CheckSettings {
    @Parameter(required = true, description = "FILE")
    private List<String> files = new ArrayList<>();
  }

  /**
   * Runs the command. Exit codes: 0 success, 2 wrong usage, 3 invalid settings, 4 cannot start, 5
   * stopped before all work in progress was finished.
   */
  public static void main(String[] args) throws InterruptedException {
    int code = new Main().run(args);
    LogManager.shutdown();
    Runtime.getRuntime().halt(code);
  }

  private int run(String[] args) throws InterruptedException {
    Run run = new Run();
    CheckSettings check = new CheckSettings();
    JCommander commander =
        JCommander.newBuilder()
            .programName("cottontack")
            .addObject(this)
            .addCommand("run", run)
            .addCommand("check-settings", check)
            .build();
    try {
      commander.parse(args);
      if (help || commander.getParsedCommand() == null) {
        commander.usage();
        return help ? 0 : USAGE;
      }
      return "run".equals(commander.getParsedCommand())
          ? serve(SettingsLoader.load(Path.of(run.file)))
          : checkSettings(Path.of(check.files.get(0)));
    } catch (ParameterException e) {
      return printError(USAGE, e.getMessage() + "; try cottontack --help");
    } catch (SettingsException e) {
      return printError(BAD_SETTINGS, e.getMessage());
    } catch (AdapterException e) {
      return printError(CANNOT_START, e.getMessage());
    }
  }

  private static int checkSettings(Path file) {
    SettingsLoader.load(file);
    System.out.println(file + ": good");
    return 0;
  }

  private static int printError(int code, String message) {
    message.lines().forEach(line -> System.err.println("cottontack: " + line));
    return code;
  }

  private static int serve(DaemonSettings settings) throws InterruptedException {
    Daemon daemon = new Daemon(settings);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "stop"));
    daemon.awaitLeft();
    daemon.close();
    return 0;
  }

  private static void stop(Daemon daemon) {
    try {
      int code = daemon.stop() ? 0 : NOT_GRACEFUL;
      LogManager.shutdown();
      Runtime.getRuntime().halt(code);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
