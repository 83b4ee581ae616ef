package org.cottontack.daemon.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.text.similarity.LevenshteinDistance;
import org.cottontack.adapters.json.Json;

/** Reads settings from YAML and checks every value before the process starts. */
public final class SettingsLoader {

  private static final YAMLMapper YAML = new YAMLMapper();

  private SettingsLoader() {}

  /**
   * Loads a file.
   *
   * @throws SettingsException with every fault at once
   */
  public static DaemonSettings load(Path file) {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      throw new SettingsException(List.of("cannot read " + file + ": " + e.getMessage()));
    }
  }

  /**
   * Reads settings from text.
   *
   * @throws SettingsException with every fault at once
   */
  public static DaemonSettings parse(String text) {
    Map<String, String> found = flatten(tree(text));
    List<String> faults = new ArrayList<>();
    found.keySet().stream()
        .filter(path -> SettingKey.at(path).isEmpty())
        .map(SettingsLoader::unknown)
        .forEach(faults::add);
    Map<SettingKey, String> values = new EnumMap<>(SettingKey.class);
    for (SettingKey key : SettingKey.values()) {
      String value = found.getOrDefault(key.path(), key.fallback().orElse(null));
      if (value == null) {
        faults.add(key.path() + ": is missing and has no default");
      } else {
        key.fault(value).ifPresent(faults::add);
        values.put(key, value);
      }
    }
    if (!faults.isEmpty()) {
      throw new SettingsException(faults);
    }
    return new DaemonSettings(values);
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
    } else if (!prefix.isEmpty()) {
      found.put(prefix, node.asText());
    }
  }

  private static String unknown(String path) {
    LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
    String nearest =
        Arrays.stream(SettingKey.values())
            .map(SettingKey::path)
            .min(Comparator.comparingInt(known -> distance.apply(path, known)))
            .orElseThrow();
    return "%s: no such setting; did you mean %s?".formatted(path, nearest);
  }
}
