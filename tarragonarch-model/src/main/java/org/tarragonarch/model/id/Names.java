package org.tarragonarch.model.id;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.regex.Pattern;

/** The format of names: 1 to 64 lower-case letters, digits, dots and dashes, starting with a letter or digit. */
public final class Names {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9.-]{0,63}");

    private Names() {}

    /** Returns whether the text is a valid name. */
    public static boolean isWellFormed(String value) {
        return NAME.matcher(value).matches();
    }

    static void check(String type, String value) {
        checkNotNull(value, "%s is null", type);
        checkArgument(isWellFormed(value), "%s '%s' is not 1 to 64 of a-z, 0-9, '.' and '-'", type, value);
    }
}
