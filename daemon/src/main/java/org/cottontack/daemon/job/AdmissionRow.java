package org.cottontack.daemon.job;

import java.util.Optional;
import org.cottontack.core.admission.AdmissionLimits;
import org.cottontack.core.admission.AdmissionText;
import org.cottontack.core.peer.Payload;

/**
 * Decides which renewals of the leader's lease also write its admission limits. Confined to the
 * event loop.
 *
 * <p>A renewal writes limits only if it expects the version of the lease row that the last renewal
 * wrote. If it is carried out late, it conflicts with any later renewal of the term that was
 * stored, and with the election row of any later term. So it never replaces newer limits.
 */
final class AdmissionRow {

  static final RowKey KEY = new RowKey(JobTables.LEADER, JobTables.LEADER_PART, "admission");

  private long epoch;
  private Optional<String> storedText = Optional.empty();
  private String sentText = "";
  private long sentNumber;

  /**
   * Begins a term. Rows of earlier terms count for nobody, so they do not need to be lifted.
   *
   * @param term the epoch of the term
   */
  void began(long term) {
    epoch = term;
    storedText = Optional.of(text(AdmissionLimits.NONE));
    sentNumber = 0;
  }

  private String text(AdmissionLimits limits) {
    return new AdmissionText(epoch, limits).text();
  }

  /**
   * Returns what a renewal writes to the row, or empty if the row already holds these limits. Until
   * the renewal is confirmed, the content of the row counts as unknown.
   *
   * @param number the number of the renewal
   * @param limits the limits at present
   */
  Optional<Payload> send(long number, AdmissionLimits limits) {
    String text = text(limits);
    if (storedText.equals(Optional.of(text))) {
      return Optional.empty();
    }
    storedText = Optional.empty();
    sentText = text;
    sentNumber = number;
    return Optional.of(Payload.of(text));
  }

  /**
   * Records that a renewal is stored; an earlier one than the last that wrote limits is ignored.
   */
  void stored(long number) {
    if (number == sentNumber) {
      storedText = Optional.of(sentText);
    }
  }
}
