package org.tarragonarch.standin.load;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.tarragonarch.model.outcome.Outcome;

/** The results of a run. Safe for use by multiple threads. */
final class LoadResult {
    private static final int DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1000;
    private static final double RATIO_UNIT = 1000;
    private static final int MAX_ERRORS_SHOWN = 20;

    private final Histogram responseMicros = new Histogram(DIGITS);
    private final Histogram refusalMicros = new Histogram(DIGITS);
    private final Histogram ratioThousandths = new Histogram(DIGITS);
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private final Map<String, Integer> problems = new TreeMap<>();
    private final List<String> errors = new ArrayList<>();
    private int sent;
    private int answered;
    private int notSent;
    private int refusalsWithoutRetryAfter;
    private long sentWorkMillis;
    private long completeWorkMillis;
    private long workMillisWhileArriving;
    private int completeTasks;
    private boolean arriving = true;

    synchronized void recordSent(JobPlan plan) {
        sent++;
        sentWorkMillis += plan.workMillis();
    }

    /** Records a submission that the driver did not send because too many were open. */
    synchronized void recordNotSent() {
        notSent++;
    }

    synchronized void recordNoAnswer(String cause) {
        answered++;
        outcomes.merge(AnswerCheck.NO_ANSWER, 1, Integer::sum);
        problems.merge(AnswerCheck.NO_ANSWER + " " + cause, 1, Integer::sum);
    }

    /** Records a refusal without the required {@code Retry-After} header. */
    synchronized void recordRefusalWithoutRetryAfter() {
        refusalsWithoutRetryAfter++;
    }

    synchronized void recordProblem(String outcomeAndCode) {
        problems.merge(outcomeAndCode, 1, Integer::sum);
    }

    synchronized void recordAnswer(JobPlan plan, AnswerCheck check, long nanos, double idealMillis) {
        answered++;
        outcomes.merge(check.outcome(), 1, Integer::sum);
        check.error().ifPresent(errors::add);
        long micros = nanos / 1000;
        if (check.outcome().equals(Outcome.COMPLETE.word())) {
            responseMicros.recordValue(micros);
            ratioThousandths.recordValue(Math.round(micros / MICROS_PER_MILLI / idealMillis * RATIO_UNIT));
            completeWorkMillis += plan.workMillis();
            workMillisWhileArriving += arriving ? plan.workMillis() : 0;
            completeTasks += plan.runTimesMillis().size();
        } else if (check.outcome().equals(Outcome.NOT_RUN.word())) {
            refusalMicros.recordValue(micros);
        }
    }

    synchronized void endArrivals() {
        arriving = false;
    }

    synchronized String progress(long second) {
        return second + " s: " + sent + " sent, " + (sent - answered) + " open, " + outcomes + ", ratio p50 "
                + ratio(50) + " p99 " + ratio(99);
    }

    /** Returns the results as JSON; the shares of useful work are left out if the number of slots is 0. */
    synchronized ObjectNode json(int slots, double arrivalSeconds, double totalSeconds) {
        ObjectNode json = JsonNodeFactory.instance
                .objectNode()
                .put("sent", sent)
                .put("answered", answered)
                .put("held-back-by-driver", notSent)
                .put("arrival-seconds", arrivalSeconds)
                .put("total-seconds", totalSeconds)
                .put("complete-tasks", completeTasks);
        ObjectNode byOutcome = json.putObject("outcomes");
        outcomes.forEach(byOutcome::put);
        ObjectNode byProblem = json.putObject("problems");
        problems.forEach(byProblem::put);
        putQuantiles(json.putObject("response-ms"), responseMicros, MICROS_PER_MILLI);
        putQuantiles(json.putObject("ratio-to-ideal"), ratioThousandths, RATIO_UNIT);
        putQuantiles(json.putObject("not-run-ms"), refusalMicros, MICROS_PER_MILLI);
        json.put("refusals-without-retry-after", refusalsWithoutRetryAfter);
        if (slots > 0) {
            json.put("offered-share", sentWorkMillis / (slots * 1000.0 * arrivalSeconds));
            json.put("useful-share-while-arriving", workMillisWhileArriving / (slots * 1000.0 * arrivalSeconds));
            json.put("useful-share-in-all", completeWorkMillis / (slots * 1000.0 * totalSeconds));
        }
        json.put("wrong-answers", errors.size());
        ArrayNode shown = json.putArray("wrong-shown");
        errors.stream().limit(MAX_ERRORS_SHOWN).forEach(shown::add);
        return json;
    }

    private double ratio(double percentile) {
        return ratioThousandths.getValueAtPercentile(percentile) / RATIO_UNIT;
    }

    private static void putQuantiles(ObjectNode json, Histogram histogram, double unit) {
        json.put("count", histogram.getTotalCount());
        for (double percentile : new double[] {50, 95, 99}) {
            json.put("p" + (int) percentile, histogram.getValueAtPercentile(percentile) / unit);
        }
        json.put("max", histogram.getMaxValue() / unit);
    }
}
