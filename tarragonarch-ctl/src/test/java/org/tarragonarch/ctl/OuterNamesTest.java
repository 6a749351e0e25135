package org.tarragonarch.ctl;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableSet;
import java.util.Arrays;
import java.util.function.Function;
import org.tarragonarch.ctl.change.RolloutState;
import org.tarragonarch.ctl.output.OutputFormat;
import org.testng.annotations.Test;

/** Guards against a rename in Java that changes printed words or exit codes. */
public final class OuterNamesTest {
    @Test
    public void testExitCode_numbers() {
        assertEquals(words(ExitCode.values(), code -> "" + code.number()), ImmutableSet.of("0", "1", "2", "3", "4"));
    }

    @Test
    public void testOutputFormat_words() {
        assertEquals(words(OutputFormat.values(), OutputFormat::toString), ImmutableSet.of("text", "json"));
    }

    @Test
    public void testRolloutState_words() {
        assertEquals(
                words(RolloutState.values(), RolloutState::words),
                ImmutableSet.of("in force", "not yet", "cannot be reached"));
    }

    private static <E> ImmutableSet<String> words(E[] constants, Function<E, String> word) {
        return Arrays.stream(constants).map(word).collect(ImmutableSet.toImmutableSet());
    }
}
