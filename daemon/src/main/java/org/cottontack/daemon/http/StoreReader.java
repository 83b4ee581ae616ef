package org.cottontack.daemon.http;

import java.util.List;
import java.util.function.Function;
import org.cottontack.adapters.Address;
import org.cottontack.adapters.http.HttpCall;
import org.cottontack.adapters.http.HttpClient;
import org.cottontack.adapters.json.Json;
import org.cottontack.adapters.store.HttpTableService;
import org.cottontack.core.Event;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.ownership.LeaseRecord;
import org.cottontack.core.store.Purpose;
import org.cottontack.core.store.StoreEffect;
import org.cottontack.core.store.StoreEvent;
import org.cottontack.core.store.StoreKey;
import org.cottontack.core.store.StoreRow;
import org.cottontack.core.table.TableRecord;
import org.cottontack.core.task.TaskEffect;

/** Answers operators' queries directly from the store, without the engine. */
public final class StoreReader {

  private static final long TIMEOUT_MILLIS = 2_000;

  private final HttpClient client;
  private final Address store;
  private final DataCentreId dataCentre;

  private record OperatorQuery() implements Purpose {}

  /** Creates a reader of a store. */
  public StoreReader(HttpClient client, Address store, DataCentreId dataCentre) {
    this.client = client;
    this.store = store;
    this.dataCentre = dataCentre;
  }

  /**
   * One accepted version of the table.
   *
   * @param version the version
   * @param editor who edited it
   * @param atWall time of the edit, in milliseconds since 1970
   * @param rows number of rows
   */
  public record HistoryLine(long version, String editor, long atWall, int rows) {}

  /**
   * An entry instance that has a lease.
   *
   * @param instance its incarnation
   * @param key its lease row, which contains its data centre
   * @param address where other entry instances reach it
   * @param ackedEpoch the epoch that it has acknowledged and acts under
   */
  public record InstanceLine(String instance, String key, String address, long ackedEpoch) {}

  void instances(HttpCall call) {
    answer(
        call,
        "own/",
        rows ->
            rows.stream()
                .filter(row -> row.value() instanceof LeaseRecord)
                .map(StoreReader::instanceLine)
                .toList());
  }

  private static InstanceLine instanceLine(StoreRow row) {
    LeaseRecord lease = (LeaseRecord) row.value();
    return new InstanceLine(
        lease.instance().value(), row.key().value(), lease.address(), lease.ackedEpoch());
  }

  void tasks(HttpCall call) {
    answer(
        call,
        StoreKey.tasksPrefix(dataCentre),
        rows -> rows.stream().map(StoreRow::value).toList());
  }

  void history(HttpCall call) {
    answer(
        call,
        "table/history/",
        rows -> rows.stream().map(row -> historyLine((TableRecord) row.value())).toList());
  }

  private static HistoryLine historyLine(TableRecord record) {
    return new HistoryLine(
        record.version(), record.editor(), record.atWall(), record.content().rows().size());
  }

  private void answer(HttpCall call, String prefix, Function<List<StoreRow>, Object> view) {
    new HttpTableService(client, store, TIMEOUT_MILLIS, event -> respond(call, event, view))
        .scan(new StoreEffect.Scan(prefix, new OperatorQuery()));
  }

  private static void respond(HttpCall call, Event event, Function<List<StoreRow>, Object> view) {
    if (event instanceof StoreEvent.Scanned scanned) {
      call.json(200, Json.write(view.apply(scanned.rows())));
    } else {
      Refusal.of(TaskEffect.Verdict.STORE_AWAY).answer(call, 503);
    }
  }
}
