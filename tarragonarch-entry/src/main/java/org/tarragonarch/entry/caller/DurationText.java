package org.tarragonarch.entry.caller;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads times with a unit, such as {@code 250ms}, {@code 30s} or {@code 5m}. */
final class DurationText {
    private static final Pattern FORM = Pattern.compile("(\\d{1,9})(ms|s|m)");

    private DurationText() {}

    static Optional<Duration> parse(String text) {
        Matcher form = FORM.matcher(text);
        if (!form.matches()) {
            return Optional.empty();
        }
        long amount = Long.parseLong(form.group(1));
        return Optional.of(
                switch (form.group(2)) {
                    case "ms" -> Duration.ofMillis(amount);
                    case "s" -> Duration.ofSeconds(amount);
                    default -> Duration.ofMinutes(amount);
                });
    }
}
