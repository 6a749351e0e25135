package org.tarragonarch.settings;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats durations as a whole number and a unit, as in {@code 250ms} or {@code 5m}. */
public final class DurationText {
    /** The accepted units, for error messages. */
    static final String UNITS = "ms, s, m or h";

    private static final Pattern FORM = Pattern.compile("([0-9]{1,12})(ms|s|m|h)");
    private static final ImmutableMap<String, Duration> UNIT_LENGTHS = ImmutableMap.of(
            "h",
            Duration.ofHours(1),
            "m",
            Duration.ofMinutes(1),
            "s",
            Duration.ofSeconds(1),
            "ms",
            Duration.ofMillis(1));

    private DurationText() {}

    /**
     * Parses a duration.
     *
     * @throws IllegalArgumentException if the text is not a whole number and a unit
     */
    public static Duration parse(String text) {
        Matcher matcher = FORM.matcher(text);
        checkArgument(matcher.matches(), "'%s' is not a duration: write a whole number and a unit, %s", text, UNITS);
        return UNIT_LENGTHS.get(matcher.group(2)).multipliedBy(Long.parseLong(matcher.group(1)));
    }

    /** Formats a duration in the largest unit that divides it; fractions of a millisecond are dropped. */
    public static String format(Duration duration) {
        long millis = duration.toMillis();
        for (String unit : UNIT_LENGTHS.keySet()) {
            long length = UNIT_LENGTHS.get(unit).toMillis();
            if (millis >= length && millis % length == 0) {
                return millis / length + unit;
            }
        }
        return "0s";
    }
}
