package org.tarragonarch.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.tarragonarch.model.id.Address;

/** The sums of the counters of all nodes and of the ledgers of all endpoints at one time. */
final class Counters {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final ObjectMapper MAPPER = new ObjectMapper();
    /** Matches a counter line of a node's metrics: name, labels and value. */
    private static final Pattern COUNTER = Pattern.compile("(tarragonarch_\\w+_total)(\\{[^}]*})? (\\S+)");

    /** Matches the label of the node, which is removed to sum a counter over all nodes. */
    private static final Pattern NODE_LABEL = Pattern.compile("(?<=\\{)node=\"[^\"]*\",?|,node=\"[^\"]*\"");

    private static final String WASTED = "tarragonarch_wasted_messages_total";

    private final Map<String, Double> nodes = new TreeMap<>();
    private final Map<String, Double> endpoints = new TreeMap<>();

    private Counters() {}

    /** Reads all nodes and endpoints; one that cannot be read is logged and left out. */
    static Counters read(OkHttpClient client, LoadOptions options) {
        Counters counters = new Counters();
        for (Address admin : options.admins()) {
            fetch(client, "http://" + admin + "/metrics").ifPresent(counters::addMetrics);
        }
        for (Address endpoint : options.endpoints()) {
            fetch(client, "http://" + endpoint + "/ledger?summary=true").ifPresent(counters::addLedger);
        }
        return counters;
    }

    /** Returns the increase of each counter since an earlier reading, and the wasted messages per useful start. */
    ObjectNode increaseSince(Counters earlier) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ObjectNode counters = json.putObject("nodes");
        putIncrease(counters, nodes, earlier.nodes);
        ObjectNode ledgers = json.putObject("endpoints");
        putIncrease(ledgers, endpoints, earlier.endpoints);
        double useful = ledgers.path("distinct-tasks").asDouble();
        if (useful > 0) {
            json.put("wasted-per-useful-start-by-ledgers", wasted(ledgers, useful) / useful);
            json.put("wasted-per-useful-start-by-nodes", wasted(counters) / useful);
        }
        return json;
    }

    /** Returns the number of messages to the endpoints that led to no useful start; reports are not counted. */
    private static double wasted(ObjectNode ledgers, double useful) {
        double repeated = ledgers.path("started").asDouble() - useful;
        double refused = ledgers.path("refused-busy").asDouble()
                + ledgers.path("refused-draining").asDouble();
        return repeated + refused + ledgers.path("useless-stops").asDouble();
    }

    /** Returns the number of messages that the nodes count as wasted, including reports and probes. */
    private static double wasted(ObjectNode counters) {
        double sum = 0;
        for (Map.Entry<String, JsonNode> counter : counters.properties()) {
            if (counter.getKey().startsWith(WASTED)) {
                sum += counter.getValue().asDouble();
            }
        }
        return sum;
    }

    private static void putIncrease(ObjectNode json, Map<String, Double> now, Map<String, Double> before) {
        now.forEach((name, value) -> {
            double increase = value - before.getOrDefault(name, 0.0);
            if (increase != 0) {
                json.put(name, increase);
            }
        });
    }

    private void addMetrics(String text) {
        for (String line : Splitter.on('\n').split(text)) {
            Matcher counter = COUNTER.matcher(line);
            if (counter.matches()) {
                String labels = counter.group(2) == null ? "" : counter.group(2);
                String name = counter.group(1) + NODE_LABEL.matcher(labels).replaceAll("");
                nodes.merge(name, Double.parseDouble(counter.group(3)), Double::sum);
            }
        }
    }

    private void addLedger(String text) {
        try {
            JsonNode ledger = MAPPER.readTree(text);
            for (Map.Entry<String, JsonNode> field : ledger.properties()) {
                endpoints.merge(field.getKey(), field.getValue().asDouble(), Double::sum);
            }
        } catch (IOException e) {
            LOGGER.atWarning().log("a ledger is not valid JSON: %s", e.getMessage());
        }
    }

    private static Optional<String> fetch(OkHttpClient client, String url) {
        try (Response response =
                client.newCall(new Request.Builder().url(url).build()).execute()) {
            return response.isSuccessful() ? Optional.of(response.body().string()) : Optional.empty();
        } catch (IOException e) {
            LOGGER.atWarning().log("%s cannot be read: %s", url, e.getMessage());
            return Optional.empty();
        }
    }
}
