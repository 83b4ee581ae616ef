package org.cottontack.daemon.settings;

import java.util.List;

/** Settings that cannot be used; lists every fault at once. */
public final class SettingsException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient List<String> faults;

  /** Creates an exception with one line for each fault. */
  public SettingsException(List<String> faults) {
    super(String.join("\n", faults));
    this.faults = List.copyOf(faults);
  }

  /** Returns one line for each fault. */
  public List<String> faults() {
    return faults;
  }
}
