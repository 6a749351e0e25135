package org.tarragonarch.standin.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.lang.ref.WeakReference;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.testng.annotations.Test;

public final class HttpServerTest {
    private static final Duration DEADLINE = Duration.ofSeconds(10);

    @Test
    public void testExchange_releasedAfterAnswer() throws Exception {
        // Guards against a leak of one exchange per request on a long-lived connection. A stand-in endpoint under load
        // then stalls, and the measurements of the nodes show delays of the stand-in.
        List<WeakReference<HttpExchange>> exchanges = new CopyOnWriteArrayList<>();
        HttpHandler handler = exchange -> {
            exchanges.add(new WeakReference<>(exchange));
            exchange.reply(HttpReply.empty(204));
        };
        try (HttpServer server = HttpServer.start("127.0.0.1", 0, handler, () -> false)) {
            HttpClient client =
                    HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + server.address() + "/tasks"))
                    .POST(HttpRequest.BodyPublishers.ofString("{}"))
                    .build();
            for (int i = 0; i < 5; i++) {
                assertEquals(
                        client.send(request, HttpResponse.BodyHandlers.ofString())
                                .statusCode(),
                        204);
            }

            long deadline = System.nanoTime() + DEADLINE.toNanos();
            while (exchanges.get(0).get() != null && System.nanoTime() < deadline) {
                System.gc();
                Thread.sleep(10);
            }
            assertNull(exchanges.get(0).get(), "the first exchange is still reachable");
        }
    }
}
