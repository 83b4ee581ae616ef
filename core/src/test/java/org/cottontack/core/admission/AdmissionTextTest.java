package org.cottontack.core.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the text in which a leader publishes its limits. */
public class AdmissionTextTest {

  private static AdmissionText limiting(int queues) {
    return new AdmissionText(
        7,
        new AdmissionLimits(
            IntStream.range(0, queues)
                .mapToObj(
                    i ->
                        new AdmissionLimits.Limit(
                            "queue %\n " + i, 0.1, Double.POSITIVE_INFINITY, 9_000, 1_500))
                .toList()));
  }

  /** Texts that this version writes. */
  public static class Written {

    /** A queue's name with separators in it must not change the limits that others read. */
    @Test
    public void readBackAsWritten() {
      assertEquals(AdmissionText.parse(limiting(4).text()), Optional.of(limiting(4)));
      assertEquals(AdmissionText.parse(limiting(0).text()), Optional.of(limiting(0)));
    }

    /** A row that grows with the number of queues would delay the renewals of the lease. */
    @Test
    public void leaveOutLimitsBeyondTheSizeLimit() {
      String text = limiting(100).text();
      assertTrue(text.length() <= AdmissionText.MAX_BYTES, "length " + text.length());
      List<AdmissionLimits.Limit> read = AdmissionText.parse(text).orElseThrow().limits().limits();
      assertTrue(read.size() > 20, "limits " + read.size());
      assertEquals(read, limiting(read.size()).limits().limits());
    }
  }

  /** Texts that have no meaning for this version. */
  public static class Foreign {

    /** Texts of another version, incomplete, unreadable and over-long texts. */
    @DataProvider
    public static Object[][] texts() {
      return new Object[][] {
        {""},
        {"v2 7\nqueue 0.0 1.0 9000 1500"},
        {"v1"},
        {"v1 x"},
        {"v1 7\nqueue 0.0 1.0 9000"},
        {"v1 7\nqueue 0.0 one 9000 1500"},
        {"v1 7\nqueue%zz 0.0 1.0 9000 1500"},
        {"v1 7" + "\nqueue 0.0 1.0 9000 1500".repeat(100)},
      };
    }

    /** Limits guessed from a text that cannot be read would reject jobs without a reason. */
    @Test(dataProvider = "texts")
    public void areIgnored(String text) {
      assertEquals(AdmissionText.parse(text), Optional.empty());
    }
  }
}
