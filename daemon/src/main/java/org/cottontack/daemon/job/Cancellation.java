package org.cottontack.daemon.job;

import java.util.List;
import java.util.Map;
import org.cottontack.core.job.JobId;
import org.cottontack.core.peer.Payload;

/** The content of a cancellation's row: whether its job was stored when the row was written. */
enum Cancellation {
  /** The job was stored; the leader ends it. */
  OF_JOB("1", Intake.Answer.STORED),

  /**
   * The job was not stored. A submission that the store carries out later conflicts with this row
   * and is rejected. The leader ends a job that an instance of another version stores without
   * checking this row.
   */
  BEFORE_SUBMISSION("0", Intake.Answer.ABSENT);

  private final String text;
  private final Intake.Answer answer;

  Cancellation(String text, Intake.Answer answer) {
    this.text = text;
    this.answer = answer;
  }

  /**
   * Returns the kind of cancellation for a job.
   *
   * @param jobVersion the version of the job's row, 0 without a row
   */
  static Cancellation forJobVersion(long jobVersion) {
    return jobVersion == 0 ? BEFORE_SUBMISSION : OF_JOB;
  }

  /** Returns the kind of cancellation that a row contains. */
  static Cancellation parse(Row row) {
    return row.text().equals(BEFORE_SUBMISSION.text) ? BEFORE_SUBMISSION : OF_JOB;
  }

  /** Returns the answer that the caller receives once the row is stored. */
  Intake.Answer answer() {
    return answer;
  }

  /**
   * Returns the transaction that writes the cancellation, on condition that the job's row is
   * unchanged. A late attempt writes nothing once the job was stored or removed, so it cannot leave
   * behind a row that is never removed.
   *
   * @param jobVersion the version of the job's row, 0 without a row
   */
  static Transaction transaction(JobId id, long jobVersion) {
    Payload content = Payload.of(forJobVersion(jobVersion).text);
    return new Transaction(
        Map.of(JobTables.job(id), jobVersion), Map.of(JobTables.cancel(id), content), List.of());
  }
}
