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
 * Checks every command of every model. A model's {@code holds} must have no counterexample; each of
 * its {@code without…} commands, which leaves one safeguard out, must have one.
 */
public final class ModelsTest {

  private static final List<String> MODELS =
      List.of("ownership", "promises", "task", "request", "table");

  private ModelsTest() {}

  /** The commands, one test each. */
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

    /** The solver finds an instance exactly where the model says that there is one. */
    @Test(dataProvider = "commands")
    public void commandIsAsExpected(String model, String label, Module module, Command command) {
      A4Options options = new A4Options();
      options.solver = SATFactory.find("sat4j").orElseThrow();
      A4Solution solution =
          TranslateAlloyToKodkod.execute_command(
              A4Reporter.NOP, module.getAllReachableSigs(), command, options);
      assertEquals(solution.satisfiable(), command.expects == 1, model + "." + label);
    }

    /** Every model has an assertion that holds and at least two safeguards it rests on. */
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
