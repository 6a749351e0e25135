package org.tarragonarch.standin.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.util.Optional;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.outcome.Outcome;

/** One call of the load driver: builds the requests and checks that the answer is complete and matches. */
final class JobCall {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final MediaType JSON = MediaType.get("application/json");
    private static final int OK = 200;
    private static final ImmutableSet<String> PROBLEM_OUTCOMES =
            ImmutableSet.of(Outcome.FAILED.word(), Outcome.NOT_RUN.word(), Outcome.UNKNOWN.word());

    private final LoadOptions options;
    private final Address node;
    private final String requestId;
    private final Optional<String> key;
    private final JobPlan plan;

    JobCall(LoadOptions options, Address node, String requestId, Optional<String> key, JobPlan plan) {
        this.options = options;
        this.node = node;
        this.requestId = requestId;
        this.key = key;
        this.plan = plan;
    }

    JobPlan plan() {
        return plan;
    }

    Request submissionRequest() {
        String path = plan.single() ? "/requests/" : "/jobs/";
        Request.Builder request = authorized("/v1/services/" + options.service() + path + options.kind());
        request.header("Time-Allowed-Ms", Long.toString(options.timeAllowed().toMillis()));
        request.header("Request-Id", requestId);
        key.ifPresent(value -> request.header("Idempotency-Key", value));
        return request.post(RequestBody.create(body(), JSON)).build();
    }

    Request cancellationRequest() {
        return authorized("/v1/submissions/" + requestId).delete().build();
    }

    /** Checks an answer against the submission. */
    AnswerCheck check(int status, String outcome, byte[] body) {
        JsonNode answer;
        try {
            answer = MAPPER.readTree(body);
        } catch (IOException e) {
            return AnswerCheck.error("status " + status + " with a body that is not JSON");
        }
        String bodyOutcome = answer.path("outcome").asText();
        if (!bodyOutcome.equals(outcome)) {
            return AnswerCheck.error("outcome '" + outcome + "' in the header, '" + bodyOutcome + "' in the body");
        }
        return status == OK ? checkResults(answer, bodyOutcome) : checkProblem(answer, bodyOutcome);
    }

    private AnswerCheck checkResults(JsonNode answer, String outcome) {
        if (!outcome.equals(Outcome.COMPLETE.word())) {
            return AnswerCheck.error("status 200 with outcome '" + outcome + "'");
        }
        if (plan.single()) {
            return checkResult(answer.path("result"), 0).orElse(AnswerCheck.valid(outcome));
        }
        JsonNode results = answer.path("results");
        if (results.size() != plan.runTimesMillis().size()) {
            return AnswerCheck.error(
                    results.size() + " results for " + plan.runTimesMillis().size() + " tasks");
        }
        for (int i = 0; i < results.size(); i++) {
            Optional<AnswerCheck> error = checkResult(results.get(i), i);
            if (error.isPresent()) {
                return error.get();
            }
        }
        return AnswerCheck.valid(outcome);
    }

    private Optional<AnswerCheck> checkResult(JsonNode result, int index) {
        String expected = tag(index);
        String found = result.path("tag").asText();
        return found.equals(expected)
                ? Optional.empty()
                : Optional.of(AnswerCheck.error("result of '" + found + "' in place of '" + expected + "'"));
    }

    private AnswerCheck checkProblem(JsonNode answer, String outcome) {
        if (!PROBLEM_OUTCOMES.contains(outcome)) {
            return AnswerCheck.error("a problem with outcome '" + outcome + "'");
        }
        if (answer.has("results") || answer.has("result")) {
            return AnswerCheck.error("a problem that contains results");
        }
        String echoed = answer.path("request-id").asText(requestId);
        return echoed.equals(requestId)
                ? AnswerCheck.valid(outcome)
                : AnswerCheck.error("problem of '" + echoed + "' in place of '" + requestId + "'");
    }

    private Request.Builder authorized(String path) {
        return new Request.Builder().url("http://" + node + path).header("Authorization", "Bearer " + options.token());
    }

    private byte[] body() {
        ObjectNode message = MAPPER.createObjectNode();
        if (plan.single()) {
            writeTask(message, 0);
        } else {
            ArrayNode tasks = message.putArray("tasks");
            for (int i = 0; i < plan.runTimesMillis().size(); i++) {
                writeTask(tasks.addObject(), i);
            }
        }
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree cannot be written", e);
        }
    }

    private void writeTask(ObjectNode task, int index) {
        int millis = plan.runTimesMillis().get(index);
        task.putObject("input").put("ms", millis).put("tag", tag(index));
        long declared = Math.round(millis * options.declaredFactor());
        if (declared > 0) {
            task.put("expected-run-time", declared + "ms");
        }
    }

    private String tag(int index) {
        return requestId + "/" + index;
    }
}
