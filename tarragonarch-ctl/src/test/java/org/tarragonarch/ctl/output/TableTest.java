package org.tarragonarch.ctl.output;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import org.testng.annotations.Test;

public final class TableTest {
    @Test
    public void testLines_alignsTextLeftAndNumbersRight() {
        Table table = Table.of("node", "in-flight").row("hobart-1", 7).row("devonport-10", 1200);
        assertEquals(
                table.lines(),
                ImmutableList.of("NODE          IN FLIGHT", "hobart-1              7", "devonport-10       1200"));
    }

    @Test
    public void testToJson_keepsNumbers() {
        Table table = Table.of("node", "in-flight").row("hobart-1", 7);
        assertEquals(table.toJson().toString(), "[{\"node\":\"hobart-1\",\"in-flight\":7}]");
    }
}
