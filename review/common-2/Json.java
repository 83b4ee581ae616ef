import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists, numbers are longs or doubles. */
final class Json {

  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    return json.value();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  @SuppressWarnings("unchecked")
  static List<Map<String, Object>> objects(Object list) {
    return list == null ? List.of() : (List<Map<String, Object>>) list;
  }

  static String string(Map<String, Object> object, String name) {
    Object value = object.get(name);
    return value == null ? "" : value.toString();
  }

  static long number(Map<String, Object> object, String name) {
    return object.get(name) instanceof Number value ? value.longValue() : 0;
  }

  private Object value() {
    skip();
    char c = text.charAt(at);
    switch (c) {
      case '{':
        at++;
        Map<String, Object> map = new LinkedHashMap<>();
        skip();
        while (text.charAt(at) != '}') {
          skip();
          String key = stringValue();
          skip();
          at++; // the colon
          map.put(key, value());
          skip();
          if (text.charAt(at) == ',') {
            at++;
            skip();
          }
        }
        at++;
        return map;
      case '[':
        at++;
        List<Object> list = new ArrayList<>();
        skip();
        while (text.charAt(at) != ']') {
          list.add(value());
          skip();
          if (text.charAt(at) == ',') {
            at++;
            skip();
          }
        }
        at++;
        return list;
      case '"':
        return stringValue();
      default:
        int from = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
          at++;
        }
        String word = text.substring(from, at);
        if (word.equals("true") || word.equals("false")) {
          return Boolean.valueOf(word);
        }
        if (word.equals("null")) {
          return null;
        }
        if (word.contains(".") || word.contains("e") || word.contains("E")) {
          return Double.valueOf(word);
        }
        return Long.valueOf(word);
    }
  }

  private String stringValue() {
    StringBuilder out = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c == '\\') {
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
      } else {
        out.append(c);
      }
    }
    at++;
    return out.toString();
  }

  private void skip() {
    while (at < text.length() && " \n\r\t".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      String comma = "";
      out.append('{');
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(comma);
        write(entry.getKey(), out);
        out.append(':');
        write(entry.getValue(), out);
        comma = ",";
      }
      out.append('}');
    } else if (value instanceof List<?> list) {
      String comma = "";
      out.append('[');
      for (Object item : list) {
        out.append(comma);
        write(item, out);
        comma = ",";
      }
      out.append(']');
    } else if (value instanceof String text) {
      out.append('"');
      for (char c : text.toCharArray()) {
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < ' ') {
          out.append(String.format("\\u%04x", (int) c));
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
