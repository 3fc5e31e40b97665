import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer for the stand-ins. Objects are maps, arrays are lists, numbers are doubles. */
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

    static String quote(String value) {
        StringBuilder out = new StringBuilder("\"");
        for (char c : value.toCharArray()) {
            if (c == '"' || c == '\\') out.append('\\').append(c);
            else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
            else out.append(c);
        }
        return out.append('"').toString();
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    private boolean take(char c) {
        space();
        if (at < text.length() && text.charAt(at) == c) {
            at++;
            return true;
        }
        return false;
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') return map();
        if (c == '[') return list();
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> Double.valueOf(word);
        };
    }

    private Map<String, Object> map() {
        Map<String, Object> result = new LinkedHashMap<>();
        take('{');
        if (take('}')) return result;
        do {
            space();
            String key = string();
            take(':');
            result.put(key, value());
        } while (take(','));
        take('}');
        return result;
    }

    private List<Object> list() {
        List<Object> result = new ArrayList<>();
        take('[');
        if (take(']')) return result;
        do {
            result.add(value());
        } while (take(','));
        take(']');
        return result;
    }

    private String string() {
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
}
