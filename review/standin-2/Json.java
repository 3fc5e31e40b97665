import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays lists, numbers longs or doubles. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> readObject(String text) {
        return (Map<String, Object>) read(text);
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> fields = new ArrayList<>();
            map.forEach((name, field) -> fields.add(quote(name.toString()) + ":" + write(field)));
            return "{" + String.join(",", fields) + "}";
        }
        if (value instanceof List<?> list) {
            List<String> entries = new ArrayList<>();
            list.forEach(entry -> entries.add(write(entry)));
            return "[" + String.join(",", entries) + "]";
        }
        return value instanceof String string ? quote(string) : String.valueOf(value);
    }

    private static String quote(String string) {
        StringBuilder quoted = new StringBuilder("\"");
        for (char c : string.toCharArray()) {
            if (c == '"' || c == '\\') quoted.append('\\').append(c);
            else if (c < ' ') quoted.append(String.format("\\u%04x", (int) c));
            else quoted.append(c);
        }
        return quoted.append('"').toString();
    }

    private Object value() {
        skipBlanks();
        char c = text.charAt(at);
        if (c == '{') return object();
        if (c == '[') return array();
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        if (word.equals("null")) return null;
        if (word.equals("true") || word.equals("false")) return Boolean.valueOf(word);
        return word.matches("-?\\d+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
    }

    private Map<String, Object> object() {
        Map<String, Object> fields = new LinkedHashMap<>();
        at++;
        while (next() != '}') {
            String name = string();
            next();
            at++;
            fields.put(name, value());
            if (next() == ',') at++;
        }
        at++;
        return fields;
    }

    private List<Object> array() {
        List<Object> entries = new ArrayList<>();
        at++;
        while (next() != ']') {
            entries.add(value());
            if (next() == ',') at++;
        }
        at++;
        return entries;
    }

    private String string() {
        skipBlanks();
        StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') c = escaped();
            result.append(c);
        }
        at++;
        return result.toString();
    }

    private char escaped() {
        char c = text.charAt(at++);
        switch (c) {
            case 'n': return '\n';
            case 't': return '\t';
            case 'r': return '\r';
            case 'b': return '\b';
            case 'f': return '\f';
            case 'u':
                at += 4;
                return (char) Integer.parseInt(text.substring(at - 4, at), 16);
            default: return c;
        }
    }

    private char next() {
        skipBlanks();
        return text.charAt(at);
    }

    private void skipBlanks() {
        while (Character.isWhitespace(text.charAt(at))) at++;
    }
}
