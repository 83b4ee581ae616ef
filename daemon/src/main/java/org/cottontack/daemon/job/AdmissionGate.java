package org.cottontack.daemon.job;

import java.util.Optional;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cottontack.core.Moment;
import org.cottontack.core.admission.AdmissionLimits;
import org.cottontack.core.admission.AdmissionText;
import org.cottontack.core.job.JobSpec;

/**
 * Decides whether this instance rejects a submission, by the limits that the leader publishes
 * beside its lease. Limits that may be older than {@link #MAX_AGE_MILLIS} reject nothing. Confined
 * to the event loop.
 */
final class AdmissionGate {

  private static final Logger LOG = LogManager.getLogger(AdmissionGate.class);

  /** Greatest age of limits that still reject jobs, in milliseconds: the duration of a lease. */
  static final long MAX_AGE_MILLIS = 2_000;

  /**
   * The rejection of a job.
   *
   * @param limit the limit that covers the job
   * @param ageMillis greatest possible age of the limit, in milliseconds
   */
  record Rejection(AdmissionLimits.Limit limit, long ageMillis) {}

  /**
   * The limits of the term that this instance leads.
   *
   * @param limits the limits at present
   * @param renewal when the last stored renewal of the lease was sent
   */
  private record OwnTerm(Supplier<AdmissionLimits> limits, Supplier<Moment> renewal) {}

  private final Timers timers;
  private final boolean inForce;
  private Optional<OwnTerm> ownTerm = Optional.empty();
  private Optional<AdmissionText> text = Optional.empty();
  private long textVersion;
  private long epoch;
  private boolean leaseHeld;
  private long leaseVersion;
  private long renewals;
  private Moment lastRequest = TableWatcher.NEVER;
  private Moment renewedAfter = TableWatcher.NEVER;

  /**
   * Creates a gate that knows no limits.
   *
   * @param inForce whether admission control is in force; if not, the gate rejects nothing
   */
  AdmissionGate(Timers timers, boolean inForce) {
    this.timers = timers;
    this.inForce = inForce;
  }

  /** Uses this instance's own limits while it leads, because it does not watch the rows then. */
  void termBegan(Supplier<AdmissionLimits> limits, Supplier<Moment> renewal) {
    ownTerm = Optional.of(new OwnTerm(limits, renewal));
  }

  void termEnded() {
    ownTerm = Optional.empty();
  }

  /**
   * Records a response of the store to a read or a watch of the leader table.
   *
   * @param requestSent when the request was sent
   * @param electionEpoch the epoch of the election row, 0 without a row
   * @param lease the lease row
   * @param limits the row with the limits
   */
  void observed(Moment requestSent, long electionEpoch, Optional<Row> lease, Optional<Row> limits) {
    lease.ifPresent(row -> observeLease(electionEpoch, row));
    limits.filter(row -> row.version() != textVersion).ifPresent(this::readLimits);
    epoch = electionEpoch;
    lastRequest = requestSent;
  }

  /**
   * Records the lease row. Only a renewal with a higher number shows that the leader still renews:
   * an unanswered renewal may be carried out after later ones, when the leader is lost. Only a
   * renewal that states its time confirms the limits, because any other one writes no limits, not
   * even to lift them. The renewal was stored at some time since the previous request was sent, so
   * its age counts from then. The first row of a term that this instance sees may be of any age.
   */
  private void observeLease(long electionEpoch, Row lease) {
    LeaseText renewal = LeaseText.parse(lease.text());
    long number = LeaseText.renewals(lease.text());
    if (electionEpoch != epoch) {
      renewedAfter = TableWatcher.NEVER;
      renewals = number;
    } else if (number > renewals) {
      renewedAfter = renewal.sentMillis() > 0 ? lastRequest : renewedAfter;
      renewals = number;
    }
    leaseHeld = !renewal.isFree();
    leaseVersion = lease.version();
  }

  private void readLimits(Row row) {
    textVersion = row.version();
    text = row.removed() ? Optional.empty() : AdmissionText.parse(row.text());
    if (text.isEmpty() && !row.removed()) {
      LOG.warn("skipping unreadable admission limits: {}", row.text());
    }
  }

  /**
   * Returns whether a submission is rejected. Jobs that run until they are cancelled and jobs that
   * wait for a due time are never rejected.
   */
  Optional<Rejection> rejection(JobSpec job) {
    if (!inForce || job.isLongRunning() || job.schedule().hasStartTime()) {
      return Optional.empty();
    }
    long ageMillis =
        timers.now().longestSince(ownTerm.map(own -> own.renewal().get()).orElse(renewedAfter));
    if (ageMillis > MAX_AGE_MILLIS) {
      return Optional.empty();
    }
    return ownTerm
        .map(own -> own.limits().get())
        .or(this::publishedLimits)
        .flatMap(limits -> limits.limitFor(job.queue().name(), declaredWork(job)))
        .map(limit -> new Rejection(limit, ageMillis));
  }

  /**
   * Returns the limits of the current leader. They count once a lease row has arrived that was
   * written with them or later: a row's version grows with each transaction of the store.
   */
  private Optional<AdmissionLimits> publishedLimits() {
    return text.filter(known -> known.epoch() == epoch)
        .filter(known -> leaseHeld && leaseVersion >= textVersion)
        .map(AdmissionText::limits);
  }

  /** Returns the work that a job declares, in thousandths of a core times milliseconds. */
  private static double declaredWork(JobSpec job) {
    return job.steps().stream()
        .mapToDouble(
            step -> (double) step.count() * step.need().cpuMillis() * step.estimateMillis())
        .sum();
  }
}
