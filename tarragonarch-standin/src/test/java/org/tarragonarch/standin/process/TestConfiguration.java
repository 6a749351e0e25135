package org.tarragonarch.standin.process;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** The configuration of the process tests: one service with an idempotent kind and one that is not. */
final class TestConfiguration {
    static final String OPERATOR_TOKEN = "token-of-ann";

    private TestConfiguration() {}

    static String text() {
        return """
                { "teams": { "proofreaders": { "max-running-tasks": 200 } },
                  "callers": { "upload-page": { "team": "proofreaders", "token-sha256": "%s" } },
                  "operators": { "ann": { "role": "changer", "token-sha256": "%s" } },
                  "services": { "%s": {
                      "favours": "response-time", "callers": ["upload-page"],
                      "max-running-tasks": 240, "max-queued-tasks": 5000,
                      "kinds": {
                        "%s": { "idempotent": false, "max-tasks": 110, "deadline": "15s" },
                        "%s": { "idempotent": true, "max-tasks": 110, "deadline": "15s" } } } } }
                """.formatted(
                sha256(Caller.TOKEN), sha256(OPERATOR_TOKEN), Caller.SERVICE, Caller.NON_IDEMPOTENT, Caller.IDEMPOTENT);
    }

    private static String sha256(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }
}
