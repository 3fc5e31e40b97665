import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: maps, lists, strings, booleans, null, and numbers as long or double. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** A map of alternating names and values, in their order. */
    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            String separator = "";
            out.append('{');
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            String separator = "";
            out.append('[');
            for (Object element : list) {
                out.append(separator);
                write(element, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private Object value() {
        skipBlanks();
        char c = text.charAt(at);
        if (c == '{') return objectValue();
        if (c == '[') return listValue();
        if (c == '"') return stringValue();
        int start = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        };
    }

    private Map<String, Object> objectValue() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        skipBlanks();
        while (text.charAt(at) != '}') {
            String name = stringValue();
            skipBlanks();
            at++;
            map.put(name, value());
            skipBlanks();
            if (text.charAt(at) == ',') at++;
            skipBlanks();
        }
        at++;
        return map;
    }

    private List<Object> listValue() {
        List<Object> list = new ArrayList<>();
        at++;
        skipBlanks();
        while (text.charAt(at) != ']') {
            list.add(value());
            skipBlanks();
            if (text.charAt(at) == ',') at++;
            skipBlanks();
        }
        at++;
        return list;
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

    private void skipBlanks() {
        while (at < text.length() && " \t\r\n".indexOf(text.charAt(at)) >= 0) at++;
    }
}
