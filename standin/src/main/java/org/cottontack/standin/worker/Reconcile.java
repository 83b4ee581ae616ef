package org.cottontack.standin.worker;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.StreamSupport;
import org.cottontack.adapters.json.Json;

/** The work that a task does on the worker stand-in: compares two lists of account lines. */
final class Reconcile {

  private Reconcile() {}

  /** Returns the lines that occur in only one of the two lists, as JSON. */
  static String differences(String input) {
    JsonNode tree = Json.tree(input);
    TreeSet<String> left = new TreeSet<>(lines(tree.path("left")));
    TreeSet<String> right = new TreeSet<>(lines(tree.path("right")));
    Map<String, List<String>> result = new TreeMap<>();
    result.put("onlyLeft", left.stream().filter(line -> !right.contains(line)).toList());
    result.put("onlyRight", right.stream().filter(line -> !left.contains(line)).toList());
    return Json.write(result);
  }

  /** Returns the duration of the work, in milliseconds. */
  static long durationMillis(String input) {
    return Json.tree(input).path("millis").asLong(0);
  }

  /** Returns whether the work fails on every worker. */
  static boolean fails(String input) {
    return Json.tree(input).path("fails").asBoolean();
  }

  /** Returns whether the work may finish only once. */
  static boolean once(String input) {
    return Json.tree(input).path("once").asBoolean();
  }

  private static List<String> lines(JsonNode node) {
    return StreamSupport.stream(node.spliterator(), false).map(JsonNode::asText).toList();
  }
}
