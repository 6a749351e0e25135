package org.tarragonarch.entry.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;

/** Builds answers to messages that were refused before they reached the application. */
final class EarlyProblem {
    private EarlyProblem() {}

    static FullHttpResponse response(int status, ProblemCode code, String detail) {
        byte[] body = ProblemJson.bytes(
                ProblemJson.of(status, Problem.of(code, Step.READ, "caller", detail), ProblemIds.NONE));
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, ProblemJson.MEDIA_TYPE)
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set("Outcome", code.outcome().word());
        return response;
    }
}
