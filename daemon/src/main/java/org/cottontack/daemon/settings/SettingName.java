package org.cottontack.daemon.settings;

/** A setting of some kind of process. */
interface SettingName {

  /** Returns the rule that its value must satisfy. */
  SettingRule rule();

  /** Returns its path in the file. */
  default String path() {
    return rule().path();
  }
}
