package org.cottontack.adapters.store;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.Address;
import org.cottontack.adapters.http.HttpClient;
import org.cottontack.adapters.http.HttpResult;
import org.cottontack.adapters.json.Json;
import org.cottontack.core.Event;
import org.cottontack.core.peer.Payload;
import org.cottontack.core.store.StoreEffect;
import org.cottontack.core.store.StoreEvent;

/**
 * Client of the platform's transactional table service over HTTP.
 *
 * <p>The core relies on these guarantees: a transaction is applied completely or not at all, a scan
 * returns one consistent snapshot, and each change of a row increments its version by one. Any
 * response may be lost.
 */
public final class HttpTableService {

  private static final int CONFLICT = 409;
  private static final int OK = 200;

  private final HttpClient client;
  private final Address address;
  private final long timeoutMillis;
  private final Consumer<Event> events;

  /**
   * Creates the adapter.
   *
   * @param client sends the requests
   * @param address the table service
   * @param timeoutMillis longest wait for a response
   * @param events receives the responses
   */
  public HttpTableService(
      HttpClient client, Address address, long timeoutMillis, Consumer<Event> events) {
    this.client = client;
    this.address = address;
    this.timeoutMillis = timeoutMillis;
    this.events = events;
  }

  /** Commits a transaction, whose outcome is delivered as an event. */
  public void commit(StoreEffect.Commit commit) {
    Payload body = Json.payload(StoreMessages.transaction(commit.writes()));
    client.call(
        HttpClient.Spec.post(address, "/v1/transactions", body, timeoutMillis),
        result -> events.accept(committed(commit.batch(), result)));
  }

  private static Event committed(long batch, HttpResult result) {
    if (result.is(OK)) {
      return new StoreEvent.Committed(batch);
    }
    if (result.is(CONFLICT)) {
      try {
        return new StoreEvent.Conflicted(batch, StoreMessages.rows(result.text()));
      } catch (AdapterException e) {
        return new StoreEvent.Unanswered(batch);
      }
    }
    return new StoreEvent.Unanswered(batch);
  }

  /** Reads the rows with a prefix, which are delivered as an event. */
  public void scan(StoreEffect.Scan scan) {
    String prefix = URLEncoder.encode(scan.prefix(), StandardCharsets.UTF_8);
    client.call(
        HttpClient.Spec.get(address, "/v1/rows?prefix=" + prefix, timeoutMillis),
        result -> events.accept(scanned(scan, result)));
  }

  private static Event scanned(StoreEffect.Scan scan, HttpResult result) {
    if (!result.is(OK)) {
      return new StoreEvent.ScanFailed(scan.purpose());
    }
    try {
      return new StoreEvent.Scanned(scan.purpose(), StoreMessages.rows(result.text()));
    } catch (AdapterException e) {
      return new StoreEvent.ScanFailed(scan.purpose());
    }
  }
}
