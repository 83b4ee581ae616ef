package org.cottontack.daemon.settings;

import java.util.List;

/** Thrown for invalid settings; lists all faults at once. */
public final class SettingsException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient List<String> faults;

  /** Creates an exception with one line per fault. */
  public SettingsException(List<String> faults) {
    super(String.join("\n", faults));
    this.faults = List.copyOf(faults);
  }

  /** Returns one line per fault. */
  public List<String> faults() {
    return faults;
  }
}
