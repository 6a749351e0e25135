package org.tarragonarch.standin.endpoint;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.time.Duration;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.platform.VmRecordJson;

/** Maintains an endpoint's entry in the platform's list of VMs; failures are logged and otherwise ignored. */
final class Registration implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final MediaType JSON = MediaType.get("application/json");
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final byte[] NO_BODY = {};

    private final ObjectMapper mapper = new ObjectMapper();
    private final OkHttpClient client =
            new OkHttpClient.Builder().callTimeout(TIMEOUT).build();
    private final String base;
    private final String name;

    Registration(Address platform, String name) {
        this.base = "http://" + platform + "/vms";
        this.name = name;
    }

    void register(VmRecord vm) {
        try {
            byte[] entry = mapper.writeValueAsBytes(VmRecordJson.write(vm));
            send(new Request.Builder().url(base).post(RequestBody.create(entry, JSON)));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree cannot be written", e);
        }
    }

    void markLeaving() {
        send(new Request.Builder().url(base + "/" + name + "/leaving").post(RequestBody.create(NO_BODY)));
    }

    void deregister() {
        send(new Request.Builder().url(base + "/" + name).delete());
    }

    @Override
    public void close() {
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private void send(Request.Builder request) {
        try (Response response = client.newCall(request.build()).execute()) {
            if (!response.isSuccessful()) {
                LOGGER.atWarning().log(
                        "platform answered %s to a change of the registration of %s", response.code(), name);
            }
        } catch (IOException e) {
            LOGGER.atWarning().log(
                    "platform is unreachable for a change of the registration of %s: %s", name, e.getMessage());
        }
    }
}
