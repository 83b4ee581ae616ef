package org.cottontack.daemon.settings;

import com.google.errorprone.annotations.Immutable;
import java.math.BigDecimal;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.Address;

/**
 * The rule for the value of a setting.
 *
 * @param path its path in the file, such as {@code listen.callers}
 * @param kind the type of the value
 * @param defaultValue its default, or empty when the setting is required
 * @param min smallest allowed number
 * @param max largest allowed number
 * @param unit the unit of a number, what a text stands for, or the words of a choice
 */
@Immutable
record SettingRule(
    String path, Kind kind, Optional<String> defaultValue, long min, long max, String unit) {

  /** The type of a value. */
  enum Kind {
    /** A non-blank text. */
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
    /** One of several words, which the unit lists. */
    CHOICE {
      @Override
      Optional<String> fault(SettingRule rule, String value) {
        return List.of(rule.unit.split("\\|")).contains(value)
            ? Optional.empty()
            : Optional.of("%s: '%s' is not one of %s".formatted(rule.path, value, rule.unit));
      }
    },
    /** A whole number within a range. */
    NUMBER {
      @Override
      Optional<String> fault(SettingRule rule, String value) {
        try {
          long number = Long.parseLong(value);
          return rule.isOutOfRange(number)
              ? Optional.of(rule.outOfRangeFault(value))
              : Optional.empty();
        } catch (NumberFormatException e) {
          return Optional.of(
              "%s: '%s' is not a whole number of %s".formatted(rule.path, value, rule.unit));
        }
      }
    },
    /** A decimal number within a range. */
    DECIMAL {
      @Override
      Optional<String> fault(SettingRule rule, String value) {
        try {
          long whole = new BigDecimal(value).longValue();
          return rule.isOutOfRange(whole)
              ? Optional.of(rule.outOfRangeFault(value))
              : Optional.empty();
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

  /** Returns the rule of a setting whose values are the names of an enum in lower case. */
  static <E extends Enum<E>> SettingRule choice(String path, E defaultValue) {
    String words =
        Stream.of(defaultValue.getDeclaringClass().getEnumConstants())
            .map(word -> word.name().toLowerCase(Locale.ROOT))
            .collect(Collectors.joining("|"));
    return new SettingRule(
        path, Kind.CHOICE, Optional.of(defaultValue.name().toLowerCase(Locale.ROOT)), 0, 0, words);
  }

  static SettingRule number(String path, String defaultValue, long min, long max, String unit) {
    return new SettingRule(path, Kind.NUMBER, Optional.of(defaultValue), min, max, unit);
  }

  static SettingRule seconds(String path, String defaultValue, long min, long max) {
    return decimal(path, defaultValue, min, max, "seconds");
  }

  static SettingRule decimal(String path, String defaultValue, long min, long max, String unit) {
    return new SettingRule(path, Kind.DECIMAL, Optional.of(defaultValue), min, max, unit);
  }

  /** Returns the fault of a value, or empty when the value is valid. */
  Optional<String> fault(String value) {
    return kind.fault(this, value);
  }

  private boolean isOutOfRange(long number) {
    return number < min || number > max;
  }

  private String outOfRangeFault(String value) {
    return "%s: %s is not between %d and %d %s".formatted(path, value, min, max, unit);
  }
}
