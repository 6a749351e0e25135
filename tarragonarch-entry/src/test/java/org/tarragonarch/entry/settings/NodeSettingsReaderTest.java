package org.tarragonarch.entry.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.tarragonarch.core.node.NodePolicy;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.settings.Mistake;
import org.tarragonarch.settings.SettingsException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class NodeSettingsReaderTest {
    private static final String GOOD = """
            { // of the sample
              "node": "hobart-1",
              "domain": "hobart",
              "caller-address": "127.0.0.1:8101",
              "admin-address": "127.0.0.1:8201",
              "peer-address": "127.0.0.1:8301",
              "platform-address": "127.0.0.1:7000"
            }
            """;

    @Test
    public void testRead_defaults() throws SettingsException {
        NodeSettings settings = read(GOOD);
        assertEquals(settings.node(), NodeId.of("hobart-1"));
        assertEquals(settings.policy(), NodePolicy.DEFAULT);
        assertEquals(settings.limits(), NodeLimits.DEFAULT);
    }

    @Test
    public void testRead_policyAndLimits() throws SettingsException {
        NodeSettings settings = read(GOOD.replace(
                "\"hobart-1\",",
                "\"hobart-1\", \"policy\": {\"drain-delay\": \"0s\", \"kept-answer\": \"1m\"},"
                        + " \"limits\": {\"max-connections\": 7, \"idle-timeout\": \"9s\"},"));
        assertEquals(settings.policy().drainDelay(), Duration.ZERO);
        assertEquals(settings.policy().keptAnswer(), Duration.ofMinutes(1));
        assertEquals(settings.limits().http().maxConnections(), 7);
        assertEquals(settings.limits().http().idleTimeout(), Duration.ofSeconds(9));
    }

    @DataProvider
    public Object[][] mistakes() {
        return new Object[][] {
            {"\"hobart-1\"", "\"Hobart 1\"", 2, "node"},
            {"\"domain\"", "\"domian\"", 3, "domian"},
            {"127.0.0.1:8101", "localhost:8101", 4, "caller-address"},
            {"127.0.0.1:8201", "127.0.0.1", 5, "admin-address"},
            {"8301\"", "8301\", \"policy\": {\"drain-delay\": 3}", 6, "policy.drain-delay"},
            {"8301\"", "8301\", \"policy\": {\"peer-silence\": \"0s\"}", 6, "policy.peer-silence"},
            {"8301\"", "8301\", \"limits\": {\"max-connections\": 0}", 6, "limits.max-connections"},
            {"8301\"", "8301\", \"limits\": {\"max-conections\": 9}", 6, "limits.max-conections"},
        };
    }

    @Test(dataProvider = "mistakes")
    public void testRead_mistakeNamesFileLineAndKey(String from, String to, int line, String key) {
        SettingsException thrown = expectThrows(SettingsException.class, () -> read(GOOD.replace(from, to)));
        List<Mistake> here = thrown.mistakes().stream()
                .filter(mistake -> mistake.key().equals(key))
                .toList();
        assertEquals(here.size(), 1, thrown.mistakes().toString());
        assertEquals(here.get(0).file(), "node.jsonc");
        assertEquals(here.get(0).line(), line);
    }

    private static NodeSettings read(String text) throws SettingsException {
        return NodeSettingsReader.read("node.jsonc", text.getBytes(StandardCharsets.UTF_8));
    }
}
