package org.cottontack.standin.experiment;

import java.util.List;
import java.util.Map;
import org.cottontack.adapters.Address;
import org.cottontack.adapters.http.HttpClient;
import org.cottontack.adapters.request.HttpEndpoints;
import org.cottontack.core.peer.Payload;

/** The baseline without a scheduler: callers send directly to the endpoints, round robin. */
final class DirectCall {

  private DirectCall() {}

  static HttpClient.Spec to(List<Address> endpoints, long number) {
    Address endpoint = endpoints.get((int) (number % endpoints.size()));
    return new HttpClient.Spec(
        endpoint,
        "POST",
        "/v1/run",
        Map.of(HttpEndpoints.ATTEMPT, "direct-" + number),
        Payload.of("{\"number\":" + number + "}"),
        10_000,
        () -> true);
  }
}
