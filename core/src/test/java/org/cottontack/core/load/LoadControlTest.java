package org.cottontack.core.load;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which parts of load control settings put in force. */
public class LoadControlTest {

  /** Guards against a deployment whose decisions change although its settings do not ask for it. */
  public static class Modes {

    @DataProvider
    static Object[][] modes() {
      return new Object[][] {
        {LoadPart.Mode.AUTO, 499, Set.of()},
        {LoadPart.Mode.AUTO, 500, Set.of(LoadPart.ADMISSION)},
        {LoadPart.Mode.ENABLED, 0, Set.of(LoadPart.ADMISSION)},
        {LoadPart.Mode.DISABLED, 900, Set.of()},
      };
    }

    @Test(dataProvider = "modes")
    public void decideWhichPartsAreInForce(LoadPart.Mode mode, long stop, Set<LoadPart> expected) {
      LoadControl control = LoadControl.of(Map.of(LoadPart.ADMISSION, mode), stop, 100);
      assertEquals(control.parts(), expected);
    }
  }
}
