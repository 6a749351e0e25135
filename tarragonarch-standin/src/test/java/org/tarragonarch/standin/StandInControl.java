package org.tarragonarch.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.tarragonarch.model.id.Address;

/** A client that switches the faults of a stand-in, reads its ledger, and reads a node's administration address. */
public final class StandInControl {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int FIRST_ERROR_STATUS = 300;

    private final HttpClient client = HttpClient.newHttpClient();
    private final ObjectMapper mapper = new ObjectMapper();
    private final Address address;

    private StandInControl(Address address) {
        this.address = address;
    }

    public static StandInControl of(Address address) {
        return new StandInControl(address);
    }

    /** Switches on a fault; the text is the fault's name, with its parameters as a query. */
    public void switchOnFault(String nameAndQuery) throws Exception {
        send(request("/faults/" + nameAndQuery).POST(HttpRequest.BodyPublishers.noBody()));
    }

    public void clearFaults() throws Exception {
        send(request("/faults").DELETE());
    }

    public void post(String path, String body) throws Exception {
        send(request(path).POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    public JsonNode get(String path) throws Exception {
        return mapper.readTree(send(request(path).GET()).body());
    }

    /** Reads from an administration address with an operator's token. */
    public JsonNode get(String path, String token) throws Exception {
        return mapper.readTree(
                send(request(path).header("Authorization", "Bearer " + token).GET())
                        .body());
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
        HttpResponse<String> response = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() >= FIRST_ERROR_STATUS) {
            throw new IOException(response.uri() + " answered " + response.statusCode() + " " + response.body());
        }
        return response;
    }
}
