package org.tarragonarch.ctl.share;

import com.google.common.collect.ImmutableTable;
import com.google.common.collect.Table;
import java.io.IOException;
import java.net.Proxy;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.tarragonarch.model.id.Address;

/** The share metrics of a node, parsed from its Prometheus page. */
public final class MetricsPage {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Pattern SHARE_LINE =
            Pattern.compile("tarragonarch_share_([a-z_]+)\\{priority=\"(-?\\d+)\"\\} ([-+.0-9Ee]+)");

    private final ImmutableTable<Integer, String, Double> values;

    private MetricsPage(ImmutableTable<Integer, String, Double> values) {
        this.values = values;
    }

    /**
     * Reads the metrics page of a node.
     *
     * @throws IOException if there is no answer within two seconds, or its status is not 2xx
     */
    public static MetricsPage read(Address node) throws IOException {
        OkHttpClient client = new OkHttpClient.Builder()
                .callTimeout(TIMEOUT)
                .proxy(Proxy.NO_PROXY)
                .build();
        HttpUrl url = new HttpUrl.Builder()
                .scheme("http")
                .host(node.ip())
                .port(node.port())
                .addPathSegment("metrics")
                .build();
        try (Response response =
                client.newCall(new Request.Builder().url(url).build()).execute()) {
            ResponseBody body = response.body();
            if (!response.isSuccessful() || body == null) {
                throw new IOException("status " + response.code());
            }
            return parse(body.string());
        }
    }

    /** Parses a metrics page; other metrics are skipped. */
    static MetricsPage parse(String text) {
        ImmutableTable.Builder<Integer, String, Double> values = ImmutableTable.builder();
        text.lines().forEach(line -> {
            Matcher matcher = SHARE_LINE.matcher(line);
            if (matcher.matches()) {
                values.put(Integer.valueOf(matcher.group(2)), matcher.group(1), Double.valueOf(matcher.group(3)));
            }
        });
        return new MetricsPage(values.buildOrThrow());
    }

    /** Returns the values by priority and metric name, without the prefix {@code tarragonarch_share_}. */
    public Table<Integer, String, Double> values() {
        return values;
    }
}
