package org.cottontack.daemon.job;

import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * The text of the lease row in the store: words separated by spaces. A holder writes its name, a
 * number that changes with each renewal, how long its grants last and when it wrote the row; the
 * text of a released lease begins with {@value #FREE} and may name a data centre.
 *
 * @param holder the incarnation that holds the lease; empty when nobody does
 * @param cutOff the data centre whose leader released the lease because it was cut off, or empty
 * @param grantMillis how long after the holder's last renewal the leases that it granted to workers
 *     may last
 * @param sentMillis a time on the store's clock at which the row had already been sent; 0 when the
 *     writer did not know it
 */
record LeaseText(String holder, String cutOff, long grantMillis, long sentMillis) {

  /**
   * Grant assumed for a row that does not state one, in milliseconds: the sum of the 5.5 s and 9 s
   * that applied in older versions.
   */
  static final long DEFAULT_GRANT_MILLIS = 14_500;

  private static final String FREE = "free";
  private static final String NO_DATA_CENTRE = "-";

  /**
   * Holder of a lease whose text is unreadable. If such a lease counted as free, its holder would
   * lose leadership at once.
   */
  private static final String UNKNOWN_HOLDER = "?";

  private static final int RENEWALS = 1;
  private static final int GRANT = 2;
  private static final int SENT = 3;
  private static final Pattern NUMBER = Pattern.compile("\\d{1,15}");

  static LeaseText parse(String text) {
    String[] words = text.split(" ", -1);
    boolean free = words[0].equals(FREE);
    String second = words.length > 1 ? words[1] : NO_DATA_CENTRE;
    return new LeaseText(
        free ? "" : words[0].isEmpty() ? UNKNOWN_HOLDER : words[0],
        free && !second.equals(NO_DATA_CENTRE) ? second : "",
        number(words, GRANT, DEFAULT_GRANT_MILLIS),
        number(words, SENT, 0));
  }

  /** Returns the number of a holder's renewal; 0 when the text states none. */
  static long renewals(String text) {
    return number(text.split(" ", -1), RENEWALS, 0);
  }

  /**
   * Parses the number at an index. A text of another version may have fewer or more words; the
   * default is the longest wait, which is always safe.
   */
  private static long number(String[] words, int index, long defaultValue) {
    boolean stated = words.length > index && NUMBER.matcher(words[index]).matches();
    return stated ? Long.parseLong(words[index]) : defaultValue;
  }

  /** Returns the text of a holder's renewal. */
  static String held(String holder, long renewals, long grantMillis, OptionalLong sentMillis) {
    return holder + " " + renewals + " " + grantMillis + " " + sentMillis.orElse(0);
  }

  /** Returns the text of a released lease, with or without a data centre that was cut off. */
  static String free(String cutOff, long grantMillis, OptionalLong sentMillis) {
    String where = cutOff.isEmpty() ? NO_DATA_CENTRE : cutOff;
    return FREE + " " + where + " " + grantMillis + " " + sentMillis.orElse(0);
  }

  /** Returns whether nobody holds the lease; the name of a holder may begin with the same word. */
  boolean isFree() {
    return holder.isEmpty();
  }
}
