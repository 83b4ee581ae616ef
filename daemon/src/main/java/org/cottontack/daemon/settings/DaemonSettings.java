package org.cottontack.daemon.settings;

import java.util.Map;
import org.cottontack.adapters.Address;
import org.cottontack.core.Settings;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.InstanceId;

/** The validated settings of an entry instance. */
public final class DaemonSettings {

  private final Map<SettingKey, String> values;

  DaemonSettings(Map<SettingKey, String> values) {
    this.values = Map.copyOf(values);
  }

  /** Returns the value of an address setting. */
  public Address address(SettingKey key) {
    return Address.parse(values.get(key));
  }

  /** Returns the value of a number setting, in the setting's unit. */
  public long number(SettingKey key) {
    return Long.parseLong(values.get(key));
  }

  /** Returns the data centre. */
  public DataCentreId dataCentre() {
    return new DataCentreId(values.get(SettingKey.DATA_CENTRE));
  }

  /** Returns the settings of the core for one incarnation. */
  public Settings core(InstanceId self) {
    return new Settings(
        self,
        dataCentre(),
        address(SettingKey.LISTEN_PEERS).toString(),
        number(SettingKey.LEASE),
        number(SettingKey.DRIFT),
        number(SettingKey.CUT_HORIZON),
        number(SettingKey.ORDER_LIFETIME),
        number(SettingKey.TASK_LEASE),
        number(SettingKey.BATCH_GAP),
        Math.toIntExact(number(SettingKey.MAX_QUEUED)));
  }
}
