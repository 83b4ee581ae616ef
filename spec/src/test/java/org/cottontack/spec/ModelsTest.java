package org.cottontack.spec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.ast.Module;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import kodkod.engine.satlab.SATFactory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks every command of every Alloy model. The command {@code holds} of a model must have no
 * counterexample. Each {@code without…} command leaves out one safeguard and must have a
 * counterexample, which shows that the safeguard is necessary.
 */
public final class ModelsTest {

  private static final List<String> MODELS =
      List.of("ownership", "promises", "task", "request", "table");

  private ModelsTest() {}

  /** Runs each command as one test. */
  public static final class Commands {

    /** Returns the commands of all models. */
    @DataProvider(name = "commands")
    public Object[][] commands() {
      return MODELS.stream().flatMap(Commands::commandsOf).toArray(Object[][]::new);
    }

    private static Stream<Object[]> commandsOf(String model) {
      Module module = parse(model);
      return module.getAllCommands().stream().map(c -> new Object[] {model, c.label, module, c});
    }

    private static Module parse(String model) {
      String file = Path.of("models", model + ".als").toString();
      return CompUtil.parseEverything_fromFile(A4Reporter.NOP, null, file);
    }

    /** The solver finds an instance if and only if the command expects one. */
    @Test(dataProvider = "commands")
    public void commandIsAsExpected(String model, String label, Module module, Command command) {
      A4Options options = new A4Options();
      options.solver = SATFactory.find("sat4j").orElseThrow();
      A4Solution solution =
          TranslateAlloyToKodkod.execute_command(
              A4Reporter.NOP, module.getAllReachableSigs(), command, options);
      assertEquals(solution.satisfiable(), command.expects == 1, model + "." + label);
    }

    /** Every model has the command {@code holds} and at least two that leave out a safeguard. */
    @Test
    public void everyModelShowsItsSafeguards() {
      for (String model : MODELS) {
        List<String> labels =
            parse(model).getAllCommands().stream().map(command -> command.label).toList();
        assertTrue(labels.contains("holds"), model);
        long removed = labels.stream().filter(label -> label.startsWith("without")).count();
        assertTrue(removed >= 2, model + " " + removed);
      }
    }
  }
}
