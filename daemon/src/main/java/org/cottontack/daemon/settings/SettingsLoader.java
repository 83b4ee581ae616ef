package org.cottontack.daemon.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.text.similarity.LevenshteinDistance;
import org.cottontack.adapters.json.Json;

/** Reads settings from YAML and validates all values before the process starts. */
public final class SettingsLoader {

  private static final YAMLMapper YAML = new YAMLMapper();

  private SettingsLoader() {}

  /**
   * Loads the settings file of an entry instance.
   *
   * @throws SettingsException with all faults at once
   */
  public static DaemonSettings load(Path file) {
    return parse(read(file));
  }

  /**
   * Parses the settings of an entry instance from text.
   *
   * @throws SettingsException with all faults at once
   */
  public static DaemonSettings parse(String text) {
    return new DaemonSettings(values(text, SettingKey.class));
  }

  /**
   * Reads a file.
   *
   * @throws SettingsException when it cannot be read
   */
  static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new SettingsException(List.of("cannot read " + file + ": " + e.getMessage()));
    }
  }

  /**
   * Returns the value of each setting of one kind of process.
   *
   * @throws SettingsException with all faults at once
   */
  static <K extends Enum<K> & SettingName> Map<K, String> values(String text, Class<K> kind) {
    return values(text, Map.of(), kind);
  }

  /**
   * Returns the value of each setting of one kind of process.
   *
   * @param text the content of the file
   * @param others values of settings that the file leaves out, by path
   * @throws SettingsException with all faults at once
   */
  static <K extends Enum<K> & SettingName> Map<K, String> values(
      String text, Map<String, String> others, Class<K> kind) {
    Map<String, String> found = new TreeMap<>(others);
    found.putAll(flatten(tree(text)));
    List<K> keys = List.of(kind.getEnumConstants());
    List<String> known = keys.stream().map(SettingName::path).toList();
    List<String> faults = new ArrayList<>();
    found.keySet().stream()
        .filter(path -> !known.contains(path))
        .map(path -> unknown(path, known))
        .forEach(faults::add);
    Map<K, String> values = new EnumMap<>(kind);
    for (K key : keys) {
      String value = found.getOrDefault(key.path(), key.rule().defaultValue().orElse(null));
      if (value == null) {
        faults.add(key.path() + ": is missing and has no default");
      } else {
        key.rule().fault(value).ifPresent(faults::add);
        values.put(key, value);
      }
    }
    if (!faults.isEmpty()) {
      throw new SettingsException(faults);
    }
    return values;
  }

  private static JsonNode tree(String text) {
    try {
      return YAML.readTree(text);
    } catch (JsonProcessingException e) {
      throw new SettingsException(List.of(Json.oneLine(e)));
    }
  }

  private static Map<String, String> flatten(JsonNode tree) {
    Map<String, String> found = new TreeMap<>();
    flatten("", tree, found);
    return found;
  }

  private static void flatten(String prefix, JsonNode node, Map<String, String> found) {
    if (node.isObject()) {
      node.properties()
          .forEach(
              field ->
                  flatten(
                      prefix.isEmpty() ? field.getKey() : prefix + "." + field.getKey(),
                      field.getValue(),
                      found));
    } else if (!prefix.isEmpty() && !node.isNull()) {
      found.put(prefix, node.asText());
    }
  }

  private static String unknown(String path, List<String> known) {
    LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
    String nearest =
        known.stream()
            .min(Comparator.comparingInt(other -> distance.apply(path, other)))
            .orElseThrow();
    return "%s: no such setting; did you mean %s?".formatted(path, nearest);
  }
}
