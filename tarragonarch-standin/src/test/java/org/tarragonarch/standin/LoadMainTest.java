package org.tarragonarch.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import org.tarragonarch.standin.load.ArrivalPattern;
import org.tarragonarch.standin.load.LoadShape;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import picocli.CommandLine;

/** Guards against the rename of a constant that changes a word of --shape or --pattern. */
public final class LoadMainTest {
    @DataProvider
    public Object[][] words() {
        return new Object[][] {{"derwent", "steady"}, {"kivilahti", "bursts"}};
    }

    @Test(dataProvider = "words")
    public void testShapeAndPattern_accepted(String shape, String pattern) {
        assertEquals(run(shape, pattern), 0);
    }

    @Test
    public void testShapeAndPattern_unknownWordRejected() {
        assertNotEquals(run("other", "steady"), 0);
        assertNotEquals(run("derwent", "other"), 0);
        assertEquals(LoadShape.values().length, 2);
        assertEquals(ArrivalPattern.values().length, 2);
    }

    /** Runs the program for one millisecond at a rate so low that it submits nothing. */
    private static int run(String shape, String pattern) {
        return new CommandLine(LoadMain.class)
                .execute(
                        "--callers=127.0.0.1:1",
                        "--token=t",
                        "--service=s",
                        "--max-jobs=1",
                        "--jobs-per-second=0.001",
                        "--duration-ms=1",
                        "--shape=" + shape,
                        "--pattern=" + pattern);
    }
}
