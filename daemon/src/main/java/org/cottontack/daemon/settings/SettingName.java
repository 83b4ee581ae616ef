package org.cottontack.daemon.settings;

/** A setting of one kind of process. */
interface SettingName {

  /** Returns what holds for it. */
  SettingRule rule();

  /** Returns where it stands in the file. */
  default String path() {
    return rule().path();
  }
}
