package org.cottontack.daemon.job;

/**
 * The text of the lease row in the store: words parted by spaces. A holder writes its name, a
 * number that changes with each renewal, and its grants; a lease that was given back begins with
 * {@value #FREE} and may name a data centre.
 *
 * @param holder the incarnation that holds the lease; empty when nobody does
 * @param cutOff the data centre whose leader gave the lease back because it was cut off, or empty
 * @param grantMillis how long after the holder's last renewal the leases may last that it gave to
 *     workers
 */
record LeaseText(String holder, String cutOff, long grantMillis) {

  /** What a row holds that does not say how long its writer's grants last: 5.5 s and 9 s of old. */
  static final long UNSTATED_GRANT_MILLIS = 14_500;

  private static final String FREE = "free";
  private static final String NOWHERE = "-";

  static LeaseText parse(String text) {
    String[] words = text.split(" ", -1);
    boolean free = words[0].equals(FREE);
    String second = words.length > 1 ? words[1] : NOWHERE;
    return new LeaseText(
        free ? "" : words[0],
        free && !second.equals(NOWHERE) ? second : "",
        words.length > 2 ? grant(words[2]) : UNSTATED_GRANT_MILLIS);
  }

  /** A text of another version may say more or less; the longest wait is always safe. */
  private static long grant(String word) {
    return word.matches("\\d{1,9}") ? Long.parseLong(word) : UNSTATED_GRANT_MILLIS;
  }

  /** Returns the text of a holder's renewal. */
  static String held(String holder, long renewals, long grantMillis) {
    return holder + " " + renewals + " " + grantMillis;
  }

  /** Returns the text of a lease given back, of no data centre or of one that was cut off. */
  static String free(String cutOff, long grantMillis) {
    return FREE + " " + (cutOff.isEmpty() ? NOWHERE : cutOff) + " " + grantMillis;
  }

  /** Returns whether nobody holds the lease; a holder's name may begin with the same word. */
  boolean isFree() {
    return holder.isEmpty();
  }
}
