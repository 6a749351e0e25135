package org.tarragonarch.entry.caller;

import com.google.common.base.CharMatcher;
import io.jooby.Context;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.tarragonarch.model.id.IdempotencyKey;

/**
 * The submission headers of a caller's message.
 *
 * @param key the caller's idempotency key
 * @param timeAllowed the time that the caller allows for the answer
 * @param requestId the caller's own id for the submission
 */
record SubmissionHeaders(Optional<IdempotencyKey> key, Optional<Duration> timeAllowed, Optional<String> requestId) {
    private static final String KEY = "Idempotency-Key";
    private static final String TIME_ALLOWED = "Time-Allowed-Ms";
    private static final String REQUEST_ID = "Request-Id";
    private static final int MAX_REQUEST_ID = 128;
    private static final int MAX_TIME_DIGITS = 9;
    private static final CharMatcher VISIBLE = CharMatcher.inRange('!', '~');
    private static final CharMatcher DIGITS = CharMatcher.inRange('0', '9');

    static SubmissionHeaders of(Context context) throws MalformedException {
        Optional<String> requestId = requestId(context);
        return new SubmissionHeaders(key(context), timeAllowed(context), requestId);
    }

    static Optional<String> requestId(Context context) throws MalformedException {
        Optional<String> text = header(context, REQUEST_ID);
        if (text.isPresent() && !wellFormed(text.get())) {
            throw new MalformedException("a Request-Id is 1 to " + MAX_REQUEST_ID + " visible ASCII characters");
        }
        return text;
    }

    private static Optional<IdempotencyKey> key(Context context) throws MalformedException {
        Optional<String> text = header(context, KEY);
        try {
            return text.map(IdempotencyKey::new);
        } catch (IllegalArgumentException e) {
            throw new MalformedException(KEY + ": " + e.getMessage());
        }
    }

    private static Optional<Duration> timeAllowed(Context context) throws MalformedException {
        Optional<String> text = header(context, TIME_ALLOWED);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        String digits = text.get();
        boolean number = !digits.isEmpty() && digits.length() <= MAX_TIME_DIGITS && DIGITS.matchesAllOf(digits);
        if (!number || Long.parseLong(digits) == 0) {
            throw new MalformedException(
                    TIME_ALLOWED + " '" + digits + "' is not a whole number of milliseconds above 0");
        }
        return Optional.of(Duration.ofMillis(Long.parseLong(digits)));
    }

    private static boolean wellFormed(String text) {
        return !text.isEmpty() && text.length() <= MAX_REQUEST_ID && VISIBLE.matchesAllOf(text);
    }

    private static Optional<String> header(Context context, String name) throws MalformedException {
        List<String> values = context.header(name).toList();
        if (values.size() > 1) {
            throw new MalformedException(name + " appears " + values.size() + " times");
        }
        return values.stream().findFirst();
    }
}
