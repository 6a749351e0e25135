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

/** The figures of a run; safe for use by many threads. */
final class LoadResult {
    private static final int DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1000;
    private static final double RATIO_UNIT = 1000;
    private static final int MAX_WRONG_SHOWN = 20;

    private final Histogram responseMicros = new Histogram(DIGITS);
    private final Histogram refusalMicros = new Histogram(DIGITS);
    private final Histogram ratioThousandths = new Histogram(DIGITS);
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private final Map<String, Integer> problems = new TreeMap<>();
    private final List<String> wrong = new ArrayList<>();
    private int recordSent;
    private int recordAnswer;
    private int recordNotSent;
    private int refusalsWithoutTime;
    private long sentWorkMillis;
    private long completeWorkMillis;
    private long workMillisWhileArriving;
    private int completeTasks;
    private boolean arriving = true;

    synchronized void recordSent(JobPlan plan) {
        recordSent++;
        sentWorkMillis += plan.workMillis();
    }

    /** Notes a submission that the driver itself did not send since too many were open. */
    synchronized void recordNotSent() {
        recordNotSent++;
    }

    synchronized void recordNoAnswer(String why) {
        recordAnswer++;
        outcomes.merge(AnswerCheck.NO_ANSWER, 1, Integer::sum);
        problems.merge(AnswerCheck.NO_ANSWER + " " + why, 1, Integer::sum);
    }

    /** Notes a refusal that offers no time to come back although one is due. */
    synchronized void recordRefusalWithoutRetryAfter() {
        refusalsWithoutTime++;
    }

    synchronized void recordProblem(String outcomeAndCode) {
        problems.merge(outcomeAndCode, 1, Integer::sum);
    }

    synchronized void recordAnswer(JobPlan plan, AnswerCheck verdict, long nanos, double idealMillis) {
        recordAnswer++;
        outcomes.merge(verdict.outcome(), 1, Integer::sum);
        verdict.error().ifPresent(wrong::add);
        long micros = nanos / 1000;
        if (verdict.outcome().equals(Outcome.COMPLETE.word())) {
            responseMicros.recordValue(micros);
            ratioThousandths.recordValue(Math.round(micros / MICROS_PER_MILLI / idealMillis * RATIO_UNIT));
            completeWorkMillis += plan.workMillis();
            workMillisWhileArriving += arriving ? plan.workMillis() : 0;
            completeTasks += plan.runTimesMillis().size();
        } else if (verdict.outcome().equals(Outcome.NOT_RUN.word())) {
            refusalMicros.recordValue(micros);
        }
    }

    synchronized void endArrivals() {
        arriving = false;
    }

    synchronized String progress(long second) {
        return second + " s: " + recordSent + " sent, " + (recordSent - recordAnswer) + " open, " + outcomes
                + ", ratio p50 " + ratio(50) + " p99 " + ratio(99);
    }

    /** Returns the figures; the share of useful work is left out where the number of slots is not known. */
    synchronized ObjectNode json(int slots, double arrivalSeconds, double totalSeconds) {
        ObjectNode json = JsonNodeFactory.instance
                .objectNode()
                .put("sent", recordSent)
                .put("answered", recordAnswer)
                .put("held-back-by-driver", recordNotSent)
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
        json.put("refusals-without-retry-after", refusalsWithoutTime);
        if (slots > 0) {
            json.put("offered-share", sentWorkMillis / (slots * 1000.0 * arrivalSeconds));
            json.put("useful-share-while-arriving", workMillisWhileArriving / (slots * 1000.0 * arrivalSeconds));
            json.put("useful-share-in-all", completeWorkMillis / (slots * 1000.0 * totalSeconds));
        }
        json.put("wrong-answers", wrong.size());
        ArrayNode shown = json.putArray("wrong-shown");
        wrong.stream().limit(MAX_WRONG_SHOWN).forEach(shown::add);
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
