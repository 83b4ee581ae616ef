package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import org.testng.annotations.Test;

/** Tests of formatting and parsing the text of the lease row. */
public class LeaseTextTest {

  /** Rows written by this version. */
  public static class Own {

    @Test
    public void readsHeldLeases() {
      LeaseText read = LeaseText.parse(LeaseText.held("a/1", 3, 8_500, OptionalLong.of(77)));
      assertEquals(read, new LeaseText("a/1", "", 8_500, 77));
      assertFalse(read.isFree());
    }

    @Test
    public void readsReleasedLeases() {
      LeaseText cut = LeaseText.parse(LeaseText.free("sofia-1", 8_500, OptionalLong.of(77)));
      assertEquals(cut, new LeaseText("", "sofia-1", 8_500, 77));
      assertTrue(cut.isFree());
      LeaseText left = LeaseText.parse(LeaseText.free("", 9_000, OptionalLong.empty()));
      assertEquals(left, new LeaseText("", "", 9_000, 0));
    }
  }

  /** Rows of other versions: whatever their text, the lease counts as held and is waited for. */
  public static class Foreign {

    @Test
    public void assumesTheLongestGrantWhenNoneIsStated() {
      long longest = LeaseText.DEFAULT_GRANT_MILLIS;
      assertEquals(LeaseText.parse("a/1 3"), new LeaseText("a/1", "", longest, 0));
      assertEquals(LeaseText.parse("free"), new LeaseText("", "", longest, 0));
      assertEquals(LeaseText.parse("free dc"), new LeaseText("", "dc", longest, 0));
      assertEquals(LeaseText.parse("a/1 3 soon"), new LeaseText("a/1", "", longest, 0));
      assertEquals(LeaseText.parse(""), new LeaseText("?", "", longest, 0));
      assertFalse(LeaseText.parse("").isFree());
    }

    @Test
    public void acceptsHolderNamesThatBeginWithFree() {
      assertEquals(LeaseText.parse("freeport-1/7 2 8500").holder(), "freeport-1/7");
    }
  }
}
