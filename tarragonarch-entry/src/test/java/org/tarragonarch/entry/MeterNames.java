package org.tarragonarch.entry;

import static org.testng.Assert.assertEquals;

import com.google.common.io.Resources;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;

/** Compares the names and labels of a metrics scrape with those in a resource. */
public final class MeterNames {
    private MeterNames() {}

    /** Fails unless the scrape has exactly the series of the resource; histogram bounds are ignored. */
    public static void assertSeries(String scrape, String resource) throws IOException {
        String series = scrape.lines()
                .filter(line -> line.startsWith("tarragonarch_"))
                .map(line -> line.substring(0, line.lastIndexOf(' ')).replaceAll(",?\\ble=\"[^\"]*\"", ""))
                .distinct()
                .sorted()
                .collect(Collectors.joining("\n"));
        String expected =
                String.join("\n", Resources.readLines(MeterNames.class.getResource(resource), StandardCharsets.UTF_8));
        assertEquals(series, expected);
    }
}
