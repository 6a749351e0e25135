import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small reader and writer of JSON: objects are maps, arrays are lists, whole numbers are of type long. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    /** Returns the value of a JSON text. */
    static Object parse(String text) {
        Json reader = new Json(text);
        Object value = reader.value();
        reader.skipSpace();
        if (reader.at != text.length()) {
            throw new IllegalArgumentException("text after the JSON value");
        }
        return value;
    }

    /** Returns the members of a JSON object. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** Returns an object with the given members, names and values by turns. */
    static Map<String, Object> of(Object... members) {
        Map<String, Object> object = new LinkedHashMap<>();
        for (int i = 0; i < members.length; i += 2) {
            object.put((String) members[i], members[i + 1]);
        }
        return object;
    }

    /** Returns the JSON text of a value. */
    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> member : map.entrySet()) {
                out.append(separator);
                quote(member.getKey().toString(), out);
                out.append(':');
                write(member.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof Iterable<?> list) {
            out.append('[');
            String separator = "";
            for (Object element : list) {
                out.append(separator);
                write(element, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            quote(string, out);
        } else {
            out.append(value);
        }
    }

    private static void quote(String string, StringBuilder out) {
        out.append('"');
        for (char c : string.toCharArray()) {
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        out.append('"');
    }

    private Object value() {
        skipSpace();
        char first = text.charAt(at);
        return switch (first) {
            case '{' -> members();
            case '[' -> elements();
            case '"' -> string();
            case 't' -> word("true", Boolean.TRUE);
            case 'f' -> word("false", Boolean.FALSE);
            case 'n' -> word("null", null);
            default -> number();
        };
    }

    private Map<String, Object> members() {
        Map<String, Object> members = new LinkedHashMap<>();
        at++;
        while (!take('}')) {
            skipSpace();
            String name = string();
            expect(':');
            members.put(name, value());
            take(',');
        }
        return members;
    }

    private List<Object> elements() {
        List<Object> elements = new ArrayList<>();
        at++;
        while (!take(']')) {
            elements.add(value());
            take(',');
        }
        return elements;
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

    private Object number() {
        int start = at;
        while (at < text.length() && "+-0123456789.eE".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        String digits = text.substring(start, at);
        return digits.matches("-?\\d+") ? (Object) Long.valueOf(digits) : (Object) Double.valueOf(digits);
    }

    private Object word(String word, Object value) {
        if (!text.startsWith(word, at)) {
            throw new IllegalArgumentException("not JSON at " + at);
        }
        at += word.length();
        return value;
    }

    private boolean take(char wanted) {
        skipSpace();
        boolean found = at < text.length() && text.charAt(at) == wanted;
        at += found ? 1 : 0;
        return found;
    }

    private void expect(char wanted) {
        if (!take(wanted)) {
            throw new IllegalArgumentException("no " + wanted + " at " + at);
        }
    }

    private void skipSpace() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }
}
