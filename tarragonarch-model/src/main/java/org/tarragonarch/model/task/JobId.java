package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.regex.Pattern;

/**
 * The id that a client chose for its job; the same id sent again denotes the same job.
 *
 * @param value 16 hexadecimal digits
 */
public record JobId(String value) {
    private static final Pattern FORMAT = Pattern.compile("[0-9a-fA-F]{16}");

    /** Checks that the value is 16 hexadecimal digits. */
    public JobId {
        checkArgument(isWellFormed(value), "'%s' is not 16 hexadecimal digits", value);
    }

    /** Returns whether the text is a valid job id. */
    public static boolean isWellFormed(String value) {
        return FORMAT.matcher(value).matches();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof JobId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
