package org.tarragonarch.model;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableSet;
import java.util.Arrays;
import java.util.function.Function;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.outcome.Outcome;
import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.platform.VmState;
import org.tarragonarch.model.report.NodePhase;
import org.tarragonarch.model.service.OperatorRole;
import org.tarragonarch.model.service.ServiceObjective;
import org.testng.annotations.Test;

/** Guards against a renamed Java constant that changes a word used outside the process. */
public final class OuterNamesTest {
    @Test
    public void testOutcome_wordsAreTheseOnly() {
        assertEquals(
                words(Outcome.values(), Outcome::word), ImmutableSet.of("complete", "failed", "not-run", "unknown"));
    }

    @Test
    public void testStep_wordsAreTheseOnly() {
        assertEquals(
                words(Step.values(), Step::word),
                ImmutableSet.of(
                        "read",
                        "authenticate",
                        "admit",
                        "claim",
                        "queue",
                        "send",
                        "run",
                        "collect",
                        "peer",
                        "platform",
                        "configure",
                        "lifecycle"));
    }

    @Test
    public void testNodePhase_wordsAreTheseOnly() {
        assertEquals(
                words(NodePhase.values(), NodePhase::word),
                ImmutableSet.of("starting", "serving", "draining", "finishing", "left"));
    }

    @Test
    public void testVmRole_wordsAreTheseOnly() {
        assertEquals(words(VmRole.values(), VmRole::word), ImmutableSet.of("entry", "endpoint"));
    }

    @Test
    public void testVmState_wordsAreTheseOnly() {
        assertEquals(words(VmState.values(), VmState::word), ImmutableSet.of("live", "leaving"));
    }

    @Test
    public void testOperatorRole_wordsAreTheseOnly() {
        assertEquals(words(OperatorRole.values(), OperatorRole::word), ImmutableSet.of("reader", "changer"));
    }

    @Test
    public void testServiceObjective_wordsAreTheseOnly() {
        assertEquals(
                words(ServiceObjective.values(), ServiceObjective::word),
                ImmutableSet.of("response-time", "few-messages"));
    }

    @Test
    public void testNodeEvent_wordsAreTheseOnly() {
        assertEquals(
                words(NodeEvent.values(), NodeEvent::word),
                ImmutableSet.of(
                        "job-answered",
                        "job-cancelled",
                        "cancel-answered",
                        "queue-unknown",
                        "job-declined",
                        "job-moved",
                        "job-moved-back",
                        "job-holder-lost",
                        "job-offered-again",
                        "offers-sent-again",
                        "offer-not-sent",
                        "job-clients-left",
                        "submission-dropped",
                        "job-recovered",
                        "job-resubmitted",
                        "origin-lost",
                        "jobs-not-open",
                        "endpoint-speed-changed",
                        "run-ended-badly",
                        "crash-confirmed",
                        "task-abandoned",
                        "endpoint-restarted",
                        "share-limited",
                        "share-unlimited",
                        "shard-claimed",
                        "shard-resigned",
                        "shard-fenced",
                        "peer-joined",
                        "peer-overdue",
                        "peer-lost",
                        "store-lost",
                        "store-rows-unusable",
                        "store-call-failed",
                        "store-regained",
                        "endpoints-from-peer",
                        "configuration-in-force",
                        "configuration-unreadable",
                        "domain-drained",
                        "domain-undrained",
                        "drain-row-unreadable",
                        "endpoint-row-unreadable",
                        "node-row-unreadable",
                        "starts-withheld",
                        "runs-without-authority",
                        "clock-stood-still",
                        "node-started",
                        "node-leaving",
                        "node-stopped",
                        "settings-read-again",
                        "settings-unreadable",
                        "log-lines-dropped"));
    }

    @Test
    public void testProblemCode_wordsOutcomesAndStatusesAreTheseOnly() {
        assertEquals(
                words(
                        ProblemCode.values(),
                        code -> code.word() + " " + code.outcome().word() + " " + code.status()),
                ImmutableSet.of(
                        "malformed not-run 400",
                        "unauthenticated not-run 401",
                        "forbidden not-run 403",
                        "unknown-service not-run 404",
                        "unknown-kind not-run 404",
                        "over-limit not-run 413",
                        "key-reused not-run 409",
                        "queue-full not-run 429",
                        "over-quota not-run 429",
                        "would-miss-deadline not-run 503",
                        "expired-in-queue not-run 503",
                        "no-endpoint not-run 503",
                        "claim-unavailable not-run 503",
                        "draining not-run 503",
                        "not-ready not-run 503",
                        "cancelled not-run 409",
                        "task-failed failed 502",
                        "answer-lost unknown 504",
                        "deadline-passed unknown 504",
                        "cancelled-while-running unknown 504",
                        "held-elsewhere unknown 504",
                        "shut-down unknown 504"));
    }

    private static <E> ImmutableSet<String> words(E[] constants, Function<E, String> word) {
        return Arrays.stream(constants).map(word).collect(ImmutableSet.toImmutableSet());
    }
}
