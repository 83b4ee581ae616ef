import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A minimal JSON reader and writer: objects are maps, arrays are lists, integers are longs. */
final class Json {

  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.skip();
    if (json.at != text.length()) {
      throw new IllegalArgumentException("trailing characters at " + json.at);
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  @SuppressWarnings("unchecked")
  static List<Map<String, Object>> rows(Map<String, Object> object, String name) {
    return (List<Map<String, Object>>) object.getOrDefault(name, List.of());
  }

  static long number(Map<String, Object> object, String name) {
    Object value = object.get(name);
    return value == null ? 0 : ((Number) value).longValue();
  }

  static String string(Map<String, Object> object, String name) {
    Object value = object.get(name);
    return value == null ? "" : value.toString();
  }

  private void skip() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private Object value() {
    skip();
    char c = text.charAt(at);
    if (c == '{') {
      return objectValue();
    }
    if (c == '[') {
      return arrayValue();
    }
    if (c == '"') {
      return stringValue();
    }
    int from = at;
    while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(from, at);
    switch (word) {
      case "true":
        return true;
      case "false":
        return false;
      case "null":
        return null;
      default:
        boolean whole = word.matches("-?\\d+");
        return whole ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
    }
  }

  private Map<String, Object> objectValue() {
    Map<String, Object> object = new LinkedHashMap<>();
    at++;
    skip();
    while (text.charAt(at) != '}') {
      skip();
      String name = stringValue();
      skip();
      at++;
      object.put(name, value());
      skip();
      if (text.charAt(at) == ',') {
        at++;
        skip();
      }
    }
    at++;
    return object;
  }

  private List<Object> arrayValue() {
    List<Object> array = new ArrayList<>();
    at++;
    skip();
    while (text.charAt(at) != ']') {
      array.add(value());
      skip();
      if (text.charAt(at) == ',') {
        at++;
        skip();
      }
    }
    at++;
    return array;
  }

  private String stringValue() {
    StringBuilder out = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char escaped = text.charAt(at++);
      switch (escaped) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(escaped);
      }
    }
    at++;
    return out.toString();
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      String separator = "";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(separator);
        write(entry.getKey().toString(), out);
        out.append(':');
        write(entry.getValue(), out);
        separator = ",";
      }
      out.append('}');
    } else if (value instanceof Iterable<?> list) {
      out.append('[');
      String separator = "";
      for (Object entry : list) {
        out.append(separator);
        write(entry, out);
        separator = ",";
      }
      out.append(']');
    } else if (value instanceof String string) {
      out.append('"');
      for (char c : string.toCharArray()) {
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < ' ') {
          out.append("\\u%04x".formatted((int) c));
        } else {
          out.append(c);
        }
      }
      out.append('"');
    } else {
      out.append(value);
    }
  }
}
