package org.cottontack.daemon.settings;

import com.google.errorprone.annotations.Immutable;
import java.math.BigDecimal;
import java.util.Optional;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.Address;

/**
 * What holds for one setting.
 *
 * @param path its place in the file, such as {@code listen.callers}
 * @param kind what its value is
 * @param fallback its default, or nothing when it must be given
 * @param least smallest number
 * @param most largest number
 * @param unit unit of a number, or what a text names
 */
@Immutable
record SettingRule(
    String path, Kind kind, Optional<String> fallback, long least, long most, String unit) {

  /** What a value is. */
  enum Kind {
    /** A text that is not blank. */
    TEXT {
      @Override
      Optional<String> fault(SettingRule rule, String value) {
        return value.isBlank()
            ? Optional.of(rule.path + ": is empty; give a " + rule.unit)
            : Optional.empty();
      }
    },
    /** A host and a port. */
    ADDRESS {
      @Override
      Optional<String> fault(SettingRule rule, String value) {
        try {
          Address.parse(value);
          return Optional.empty();
        } catch (AdapterException e) {
          return Optional.of(rule.path + ": " + e.getMessage());
        }
      }
    },
    /** A whole number within bounds. */
    NUMBER {
      @Override
      Optional<String> fault(SettingRule rule, String value) {
        try {
          long number = Long.parseLong(value);
          return rule.outside(number) ? Optional.of(rule.outsideFault(value)) : Optional.empty();
        } catch (NumberFormatException e) {
          return Optional.of(
              "%s: '%s' is not a whole number of %s".formatted(rule.path, value, rule.unit));
        }
      }
    },
    /** A number within bounds, whole or with a fraction. */
    DECIMAL {
      @Override
      Optional<String> fault(SettingRule rule, String value) {
        try {
          long whole = new BigDecimal(value).longValue();
          return rule.outside(whole) ? Optional.of(rule.outsideFault(value)) : Optional.empty();
        } catch (NumberFormatException e) {
          return Optional.of(
              "%s: '%s' is not a number of %s".formatted(rule.path, value, rule.unit));
        }
      }
    };

    abstract Optional<String> fault(SettingRule rule, String value);
  }

  static SettingRule text(String path, String unit) {
    return new SettingRule(path, Kind.TEXT, Optional.empty(), 0, 0, unit);
  }

  static SettingRule address(String path) {
    return new SettingRule(path, Kind.ADDRESS, Optional.empty(), 0, 0, "host:port");
  }

  static SettingRule number(String path, String fallback, long least, long most, String unit) {
    return new SettingRule(path, Kind.NUMBER, Optional.of(fallback), least, most, unit);
  }

  static SettingRule seconds(String path, String fallback, long least, long most) {
    return decimal(path, fallback, least, most, "seconds");
  }

  static SettingRule decimal(String path, String fallback, long least, long most, String unit) {
    return new SettingRule(path, Kind.DECIMAL, Optional.of(fallback), least, most, unit);
  }

  /** Returns what is wrong with a value, or nothing when it is right. */
  Optional<String> fault(String value) {
    return kind.fault(this, value);
  }

  private boolean outside(long number) {
    return number < least || number > most;
  }

  private String outsideFault(String value) {
    return "%s: %s is not between %d and %d %s".formatted(path, value, least, most, unit);
  }
}
