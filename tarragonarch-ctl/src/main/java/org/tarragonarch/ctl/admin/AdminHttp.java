package org.tarragonarch.ctl.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.Proxy;
import java.time.Duration;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.tarragonarch.model.id.Address;

/** Sends calls to the administration API and parses the JSON answers. Thread-safe. */
final class AdminHttp {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final OkHttpClient client;
    private final String token;

    private AdminHttp(OkHttpClient client, String token) {
        this.client = client;
        this.token = token;
    }

    static AdminHttp create(String token, Duration timeout) {
        OkHttpClient client = new OkHttpClient.Builder()
                .callTimeout(timeout)
                .connectTimeout(timeout)
                .readTimeout(timeout)
                // Only the caller of this class repeats a change, with the same change id.
                .retryOnConnectionFailure(false)
                .proxy(Proxy.NO_PROXY)
                .build();
        return new AdminHttp(client, token);
    }

    static HttpUrl.Builder url(Address node) {
        return new HttpUrl.Builder().scheme("http").host(node.ip()).port(node.port());
    }

    JsonNode get(Address node, HttpUrl url) throws AdminException {
        return call(node, new Request.Builder().url(url).get());
    }

    JsonNode post(Address node, HttpUrl url, byte[] body) throws AdminException {
        return call(node, new Request.Builder().url(url).post(RequestBody.create(body)));
    }

    JsonNode delete(Address node, HttpUrl url) throws AdminException {
        return call(node, new Request.Builder().url(url).delete());
    }

    private JsonNode call(Address node, Request.Builder request) throws AdminException {
        Request complete = request.header("Authorization", "Bearer " + token).build();
        try (Response response = client.newCall(complete).execute()) {
            JsonNode body = body(response);
            if (response.isSuccessful()) {
                return body;
            }
            throw AdminException.refused(
                    node, response.code(), body.path("code").asText(""), detail(node, response, body));
        } catch (JsonProcessingException e) {
            throw AdminException.unreadable(node, e.getOriginalMessage());
        } catch (IOException e) {
            throw AdminException.noAnswer(node, e);
        }
    }

    private static JsonNode body(Response response) throws IOException {
        ResponseBody body = response.body();
        String text = body == null ? "" : body.string();
        if (text.isBlank()) {
            return MAPPER.missingNode();
        }
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            if (response.isSuccessful()) {
                throw e;
            }
            return MAPPER.missingNode();
        }
    }

    private static String detail(Address node, Response response, JsonNode body) {
        JsonNode detail = body.path("detail");
        String reason = detail.isTextual() ? detail.textValue() : response.message();
        return node + " refused: " + reason;
    }
}
