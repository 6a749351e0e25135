package org.tarragonarch.entry.admin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.core.event.ConfigurationLoaded;
import org.tarragonarch.core.event.DrainRequested;
import org.tarragonarch.entry.Eventually;
import org.tarragonarch.entry.caller.FakeCore;
import org.tarragonarch.entry.catalog.CatalogInForce;
import org.tarragonarch.entry.catalog.ConfigurationTexts;
import org.tarragonarch.entry.control.ControlLoop;
import org.tarragonarch.entry.control.EventRecorder;
import org.tarragonarch.entry.control.Readiness;
import org.tarragonarch.entry.http.ApiServer;
import org.tarragonarch.entry.http.HttpLimits;
import org.tarragonarch.entry.metrics.NodeMetrics;
import org.tarragonarch.entry.platform.ConfigurationLoader;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.outcome.StepException;
import org.tarragonarch.model.report.NodePhase;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class AdminApiTest {
    private static final String CHANGER_TOKEN = "token-of-ann";
    private static final String READER_TOKEN = "token-of-ben";

    private final HttpClient client = HttpClient.newHttpClient();
    private final ObjectMapper mapper = new ObjectMapper();
    private FakeCore core;
    private FakeConfigurationStore store;
    private Readiness readiness;
    private CatalogInForce catalog;
    private ConfigurationTexts texts;
    private NodeMetrics metrics;
    private ControlLoop control;
    private AdminApi api;
    private ApiServer server;

    @BeforeMethod
    public void setUp() throws StepException {
        core = new FakeCore((arrived, sink) -> {});
        store = new FakeConfigurationStore();
        readiness = Readiness.create();
        catalog = CatalogInForce.create();
        texts = ConfigurationTexts.create();
        metrics = NodeMetrics.create(NodeId.of("hobart-1"));
        control = ControlLoop.create(core, EventRecorder.NONE);
        control.start(action -> {});
        api = AdminApi.create(control, catalog, texts, readiness, metrics, store);
        server = ApiServer.create(
                new InetSocketAddress("127.0.0.1", 0),
                HttpLimits.DEFAULT,
                metrics.httpEvents("admin"),
                "test-admin",
                1);
        server.serve(api.application());
    }

    @AfterMethod
    public void tearDown() {
        server.stop();
        api.close();
        control.stop();
        metrics.close();
    }

    @DataProvider
    public Object[][] guarded() {
        return new Object[][] {
            {"GET", "/admin/status"},
            {"GET", "/admin/endpoints"},
            {"GET", "/admin/nodes"},
            {"GET", "/admin/queues"},
            {"GET", "/admin/quotas"},
            {"GET", "/admin/configuration"},
            {"POST", "/admin/configuration?from=0&change=c"},
            {"GET", "/admin/audit"},
            {"POST", "/admin/drain"},
            {"POST", "/admin/endpoints/w1/drain"},
            {"DELETE", "/admin/endpoints/w1/drain"},
        };
    }

    @Test(dataProvider = "guarded")
    public void testGuardedResource_needsToken(String method, String path) throws Exception {
        assertEquals(send(method, path, CHANGER_TOKEN, "").statusCode(), 503);
        putInForce(1, "");
        HttpResponse<String> refused = send(method, path, "wrong", "");
        assertEquals(refused.statusCode(), 401);
        assertFalse(refused.body().contains("wrong"), refused.body());
        assertTrue(metrics.scrape().contains("authentication_failures_total{node=\"hobart-1\",port=\"admin\"} 1.0"));
        assertEquals(send(method, path, READER_TOKEN, "").statusCode(), "GET".equals(method) ? 200 : 403);
        assertTrue(core.events(DrainRequested.class).isEmpty());
    }

    @Test
    public void testOpenResources_needNoToken() throws Exception {
        assertEquals(send("GET", "/health/live", "", "").statusCode(), 200);
        assertEquals(send("GET", "/health/ready", "", "").statusCode(), 503);
        readiness.enter(NodePhase.SERVING);
        assertEquals(send("GET", "/health/ready", "", "").statusCode(), 200);
        HttpResponse<String> metricsText = send("GET", "/metrics", "", "");
        assertTrue(metricsText.body().contains("tarragonarch_configuration_version{node=\"hobart-1\"} 1.0"));
        assertEquals(send("GET", "/nothing", "", "").statusCode(), 404);
    }

    @Test
    public void testDrain() throws Exception {
        putInForce(1, "");
        assertEquals(send("POST", "/admin/drain", CHANGER_TOKEN, "").statusCode(), 202);
        Eventually.check(
                "the core receives the request",
                () -> core.events(DrainRequested.class).size() == 1);
        assertEquals(core.events(DrainRequested.class).get(0).reason(), "operator ann");
        assertEquals(
                send("POST", "/admin/endpoints/w9/drain", CHANGER_TOKEN, "").statusCode(), 404);
    }

    // Two operators base a change on version 1. The second must get a conflict that names the accepted change and its
    // operator, and must not overwrite it.
    @Test
    public void testPostConfiguration_conflictNamesAcceptedChange() throws Exception {
        putInForce(1, "");
        String text = configuration("\"teams\":{\"m\":{\"max-running-tasks\":1}},");
        HttpResponse<String> first =
                send("POST", "/admin/configuration?from=1&change=first&summary=a%20team", CHANGER_TOKEN, text);
        assertEquals(first.statusCode(), 200, first.body());
        JsonNode row = mapper.readTree(first.body());
        assertEquals(row.path("version").asLong(), 2);
        assertEquals(row.path("operator").asText(), "ann");

        HttpResponse<String> second =
                send("POST", "/admin/configuration?from=1&change=second", CHANGER_TOKEN, configuration(""));
        assertEquals(second.statusCode(), 409);
        JsonNode accepted = mapper.readTree(second.body()).path("accepted");
        assertEquals(accepted.path("change").asText(), "first");
        assertEquals(accepted.path("operator").asText(), "ann");

        JsonNode audit =
                mapper.readTree(send("GET", "/admin/audit", READER_TOKEN, "").body());
        assertEquals(audit.get(0).path("summary").asText(), "a team");
        JsonNode old = mapper.readTree(
                send("GET", "/admin/configuration?version=2", READER_TOKEN, "").body());
        assertEquals(old.path("canonical").asText(), text);
        assertEquals(
                send("GET", "/admin/configuration?version=9", READER_TOKEN, "").statusCode(), 404);
    }

    @Test
    public void testPostConfiguration_mistakes() throws Exception {
        putInForce(1, "");
        HttpResponse<String> refused =
                send("POST", "/admin/configuration?from=1&change=c", CHANGER_TOKEN, "{\"teems\":{},\"services\":3}");
        assertEquals(refused.statusCode(), 400);
        assertEquals(mapper.readTree(refused.body()).path("mistakes").size(), 2, refused.body());
        for (String query : ImmutableList.of("", "?from=x&change=c", "?from=-1&change=c", "?from=1")) {
            assertEquals(
                    send("POST", "/admin/configuration" + query, CHANGER_TOKEN, "{}")
                            .statusCode(),
                    400);
        }
        assertTrue(store.readRow().isEmpty());
    }

    @Test
    public void testAudit_platformUnavailable() throws Exception {
        putInForce(1, "");
        store.setUnavailable(true);
        HttpResponse<String> refused = send("GET", "/admin/audit", READER_TOKEN, "");
        assertEquals(refused.statusCode(), 503);
        assertTrue(refused.body().contains("\"step\":\"platform\",\"peer\":\"table service\""), refused.body());
        JsonNode here = mapper.readTree(
                send("GET", "/admin/configuration", READER_TOKEN, "").body());
        assertEquals(here.path("version").asLong(), 1);
    }

    private void putInForce(long version, String extraFields) {
        byte[] text = configuration(extraFields).getBytes(StandardCharsets.UTF_8);
        ConfigurationLoaded loaded = (ConfigurationLoaded) ConfigurationLoader.create(texts)
                .load(ConfigurationVersion.of(version), Optional.empty(), text, "test");
        catalog.set(loaded.catalog());
    }

    private static String configuration(String extraFields) {
        return "{" + extraFields + "\"operators\":{" + operator("ann", "changer", CHANGER_TOKEN) + ","
                + operator("ben", "reader", READER_TOKEN) + "}}";
    }

    private static String operator(String name, String role, String token) {
        String digest = ContentDigest.of(token.getBytes(StandardCharsets.UTF_8)).hex();
        return "\"" + name + "\":{\"role\":\"" + role + "\",\"token-sha256\":\"" + digest + "\"}";
    }

    private HttpResponse<String> send(String method, String path, String token, String body)
            throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
                .timeout(Duration.ofSeconds(10))
                .header("Authorization", "Bearer " + token)
                .method(method, BodyPublishers.ofString(body))
                .build();
        return client.send(request, BodyHandlers.ofString());
    }
}
