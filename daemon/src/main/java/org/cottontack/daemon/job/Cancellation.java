package org.cottontack.daemon.job;

import java.util.List;
import java.util.Map;
import org.cottontack.core.job.JobId;
import org.cottontack.core.peer.Payload;

/** What the row of a cancellation says of its job when it was written. */
enum Cancellation {
  /** The job is stored, and the leader ends it. */
  OF_JOB("1", Intake.Answer.STORED),

  /**
   * There was no job. A submission that the store carries out later is refused beside this row, and
   * the leader ends a job that another version stores there.
   */
  BEFORE_SUBMISSION("0", Intake.Answer.ABSENT);

  private final String text;
  private final Intake.Answer answer;

  Cancellation(String text, Intake.Answer answer) {
    this.text = text;
    this.answer = answer;
  }

  /**
   * Returns which one fits a job.
   *
   * @param jobVersion the version of the job's row, 0 without a row
   */
  static Cancellation fitting(long jobVersion) {
    return jobVersion == 0 ? BEFORE_SUBMISSION : OF_JOB;
  }

  /** Returns which one a row holds. */
  static Cancellation parse(Row row) {
    return row.text().equals(BEFORE_SUBMISSION.text) ? BEFORE_SUBMISSION : OF_JOB;
  }

  /** Returns what a caller is told once it is stored. */
  Intake.Answer answer() {
    return answer;
  }

  /**
   * Returns the transaction that writes it while the job's row is as it was seen. A late copy
   * writes nothing once that row has come or gone, so no row is left behind that nobody removes.
   *
   * @param jobVersion the version of the job's row, 0 without a row
   */
  static Transaction change(JobId id, long jobVersion) {
    Payload content = Payload.of(fitting(jobVersion).text);
    return new Transaction(
        Map.of(JobTables.job(id), jobVersion), Map.of(JobTables.cancel(id), content), List.of());
  }
}
