package org.cottontack.daemon.http;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.cottontack.adapters.http.HttpCall;
import org.cottontack.adapters.json.Json;
import org.cottontack.core.request.Answer;
import org.cottontack.core.task.TaskEffect;

/**
 * The body of every response that is not the result of the requested work.
 *
 * @param code stable code
 * @param ran {@code ran}, {@code not_run} or {@code unknown}
 * @param message one sentence
 * @param retryAfterMillis time after which to retry, 0 when a retry makes no sense
 */
public record Refusal(String code, String ran, String message, long retryAfterMillis) {

  private static final long MILLIS_PER_SECOND = 1_000;

  static Refusal of(Answer answer) {
    return new Refusal(
        answer.code().word(),
        answer.code().ran().word(),
        answer.code().message(),
        answer.retryAfterMillis());
  }

  static Refusal of(TaskEffect.Verdict verdict) {
    return new Refusal(
        verdict.word(), verdict.ran().word(), verdict.message(), verdict.retryAfterMillis());
  }

  static Refusal notRun(String code, String message) {
    return new Refusal(code, "not_run", message, 0);
  }

  /** Responds to a call with this body and the matching headers. */
  void answer(HttpCall call, int status) {
    Map<String, String> headers = new HashMap<>();
    headers.put("content-type", "application/json");
    headers.put("cottontack-ran", ran);
    headers.put("cottontack-code", code);
    if (retryAfterMillis > 0) {
      headers.put("retry-after", "" + seconds(retryAfterMillis));
    }
    call.respond(status, headers, Json.write(this).getBytes(StandardCharsets.UTF_8));
  }

  private static long seconds(long millis) {
    return (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
  }
}
