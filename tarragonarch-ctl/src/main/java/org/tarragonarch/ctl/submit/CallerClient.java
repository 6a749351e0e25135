package org.tarragonarch.ctl.submit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Proxy;
import java.time.Duration;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;

/** A blocking client of the caller API of a node. */
public final class CallerClient {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final MediaType JSON = MediaType.get("application/json");

    private final Address node;
    private final String token;
    private final OkHttpClient client;

    /**
     * Creates a client.
     *
     * @param node the caller address of the node
     * @param token the token of the caller
     * @param connectTimeout the timeout for connecting; there is no timeout for the answer
     */
    public CallerClient(Address node, String token, Duration connectTimeout) {
        this.node = node;
        this.token = token;
        this.client = new OkHttpClient.Builder()
                .connectTimeout(connectTimeout)
                .readTimeout(Duration.ZERO)
                // A retry of a submission without an idempotency key would be a second submission.
                .retryOnConnectionFailure(false)
                .proxy(Proxy.NO_PROXY)
                .build();
    }

    /**
     * Sends a submission and waits for its answer, whatever its outcome.
     *
     * @throws StepException if there is no valid answer; unless the connection failed, the submission may have run
     */
    public CallerAnswer submit(Submission submission) throws StepException {
        try (Response response = client.newCall(request(submission)).execute()) {
            ResponseBody body = response.body();
            JsonNode json = MAPPER.readTree(body == null ? "" : body.string());
            return new CallerAnswer(response.code(), json);
        } catch (JsonProcessingException e) {
            throw new StepException(Step.READ, node.toString(), "the answer of " + node + " is not JSON", e);
        } catch (ConnectException e) {
            throw new StepException(Step.SEND, node.toString(), "not run: " + e.getMessage(), e);
        } catch (IOException e) {
            String message = "no answer, so it may have run: " + e.getMessage();
            throw new StepException(Step.READ, node.toString(), message, e);
        }
    }

    private Request request(Submission submission) {
        HttpUrl url = new HttpUrl.Builder()
                .scheme("http")
                .host(node.ip())
                .port(node.port())
                .addPathSegments("v1/services")
                .addPathSegment(submission.service().value())
                .addPathSegment(submission.resource())
                .addPathSegment(submission.kind().value())
                .build();
        byte[] body = submission.body().toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
        Request.Builder request = new Request.Builder()
                .url(url)
                .post(RequestBody.create(body, JSON))
                .header("Authorization", "Bearer " + token);
        submission.idempotencyKey().ifPresent(key -> request.header("Idempotency-Key", key));
        submission
                .timeAllowed()
                .ifPresent(allowed -> request.header("Time-Allowed-Ms", Long.toString(allowed.toMillis())));
        submission.requestId().ifPresent(id -> request.header("Request-Id", id));
        return request.build();
    }
}
