package org.tarragonarch.entry.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import org.tarragonarch.model.share.SharePlan;
import org.tarragonarch.model.share.ShareSettings;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class ShareSettingsReaderTest {
    private static SharePlan read(String text) throws IOException {
        JsonParser parser = new JsonFactory().createParser(text);
        parser.nextToken();
        return ShareSettingsReader.read(parser);
    }

    @Test
    public void testRead_defaults() throws IOException {
        assertEquals(
                read("[{\"priority\": 0, \"weight\": 4, \"guaranteed\": 0.2, \"ceiling\": 0.9},"
                        + " {\"priority\": 1, \"weight\": 0.5}]"),
                SharePlan.of(ImmutableList.of(new ShareSettings(0, 4, 0.2, 0.9), new ShareSettings(1, 0.5, 0, 1))));
        assertEquals(read("[]"), SharePlan.NONE);
    }

    @DataProvider
    public Object[][] mistakes() {
        return new Object[][] {
            {"{}", "'shares' is not a list"},
            {"[4]", "shares[0]: not an object"},
            {"[{\"priority\": 0}]", "shares[0]: 'priority' or 'weight' is missing"},
            {"[{\"priority\": 0, \"wight\": 1}]", "shares[0]: unknown key 'wight'"},
            {"[{\"priority\": 3, \"weight\": 0}]", "shares[0]: priority 3: weight 0.0 is not over 0"},
            {
                "[{\"priority\": 3, \"weight\": 1, \"guaranteed\": 1.5}]",
                "shares[0]: priority 3: guaranteed 1.5 is not from 0 to 1"
            },
            {
                "[{\"priority\": 3, \"weight\": 1, \"ceiling\": 0}]",
                "shares[0]: priority 3: ceiling 0.0 is not over 0 and up to 1"
            },
            {
                "[{\"priority\": 3, \"weight\": 1, \"guaranteed\": 0.5, \"ceiling\": 0.4}]",
                "shares[0]: priority 3: ceiling 0.4 is under guaranteed 0.5"
            },
            {
                "[{\"priority\": 1, \"weight\": 1}, {\"priority\": 1, \"weight\": 2}]",
                "shares[1]: priority 1 appears twice"
            },
            {
                "[{\"priority\": 1, \"weight\": 1, \"guaranteed\": 0.75},"
                        + " {\"priority\": 2, \"weight\": 1, \"guaranteed\": 0.5}]",
                "shares[1]: priority 2: with it the guaranteed fractions add up to 1.25, over 1"
            },
        };
    }

    /** Guards against an invalid entry that is accepted, or whose error message does not name the entry. */
    @Test(dataProvider = "mistakes")
    public void testRead_mistake(String text, String message) {
        assertEquals(expectThrows(IOException.class, () -> read(text)).getMessage(), message);
    }
}
