package org.tarragonarch.core.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.tarragonarch.core.action.AnswerComplete;
import org.tarragonarch.core.action.AnswerProblem;
import org.tarragonarch.core.action.AnswerSameAs;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.action.PhaseChanged;
import org.tarragonarch.core.action.ReadClaims;
import org.tarragonarch.core.action.ReleaseClaim;
import org.tarragonarch.core.action.SendTask;
import org.tarragonarch.core.action.StopTask;
import org.tarragonarch.core.action.SweepClaims;
import org.tarragonarch.core.action.WriteClaims;
import org.tarragonarch.core.event.CancelCause;
import org.tarragonarch.core.event.CancelRequested;
import org.tarragonarch.core.event.ClaimResult;
import org.tarragonarch.core.event.ClaimsRead;
import org.tarragonarch.core.event.ClaimsUncertain;
import org.tarragonarch.core.event.ClaimsWritten;
import org.tarragonarch.core.event.DrainRequested;
import org.tarragonarch.core.event.PlatformFailed;
import org.tarragonarch.core.event.PlatformPart;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.core.event.SubmissionForm;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.outcome.Outcome;
import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.platform.Claim;
import org.tarragonarch.model.report.NodePhase;
import org.testng.annotations.Test;

public final class EntryNodeTest {
    @Test
    public void testJob_answeredAfterItsLastTask() {
        NodeFixture node = NodeFixture.serving(8);
        SubmissionId job = node.submit(SubmissionForm.JOB, NodeFixture.NOT_IDEMPOTENT, 3);
        List<SendTask> sends = node.allActions(SendTask.class);
        assertEquals(sends.size(), 3);
        node.endTask(sends.get(2), SendResult.SUCCEEDED);
        node.endTask(sends.get(0), SendResult.SUCCEEDED);
        assertTrue(node.allActions(AnswerComplete.class).isEmpty());
        node.endTask(sends.get(1), SendResult.SUCCEEDED);
        assertEquals(node.allActions(AnswerComplete.class), List.of(new AnswerComplete(job)));
    }

    /** Guards against a job that is run again, or answered late, after an endpoint failed and the job may have run. */
    @Test
    public void testJob_lostAnswerEndsJobAtOnce() {
        NodeFixture node = NodeFixture.serving(1);
        SubmissionId job = node.submit(SubmissionForm.JOB, NodeFixture.IDEMPOTENT, 3);
        node.endTask(node.lastAction(SendTask.class), SendResult.LOST);
        assertEquals(node.problemOf(job).code(), ProblemCode.ANSWER_LOST);
        node.advance(Duration.ofSeconds(1));
        assertEquals(node.allActions(SendTask.class).size(), 1);
    }

    /** Guards against tasks of a failed job that overrun their estimate, count as nearly done and keep their slots. */
    @Test
    public void testJob_tasksThatOverrunAreStoppedAfterALoss() {
        NodeFixture node = NodeFixture.serving(2);
        node.submit(SubmissionForm.JOB, NodeFixture.NOT_IDEMPOTENT, 2);
        List<SendTask> sends = node.allActions(SendTask.class);
        node.advance(Duration.ofSeconds(1));
        node.endTask(sends.get(0), SendResult.LOST);
        assertTrue(node.lastAction(StopTask.class).sendStop());
    }

    /** Guards against tasks of a failed job that are not stopped because they have reached their expected end. */
    @Test
    public void testJob_tasksAtTheirExpectedEndAreStoppedAfterALoss() {
        NodeFixture node = NodeFixture.serving(2);
        node.submit(SubmissionForm.JOB, NodeFixture.NOT_IDEMPOTENT, 2);
        List<SendTask> sends = node.allActions(SendTask.class);
        node.advance(NodeFixture.EXPECTED_RUN_TIME);
        node.endTask(sends.get(0), SendResult.LOST);
        assertTrue(node.lastAction(StopTask.class).sendStop());
    }

    @Test
    public void testRequest_idempotentIsRetried() {
        NodeFixture node = NodeFixture.serving(8);
        SubmissionId request = node.submit(SubmissionForm.REQUEST, NodeFixture.IDEMPOTENT, 1);
        node.endTask(node.lastAction(SendTask.class), SendResult.LOST);
        SendTask second = node.lastAction(SendTask.class);
        assertEquals(second.attempt(), 2);
        node.endTask(second, SendResult.SUCCEEDED);
        assertEquals(node.lastAction(AnswerComplete.class).submission(), request);
    }

    /** Guards against a request answered as not-run at its deadline while it waits for a retry of a lost attempt. */
    @Test
    public void testRequest_deadlineWhileWaitingForRetryIsUnknown() {
        NodeFixture node = NodeFixture.serving(1);
        SubmissionId request = node.submit(SubmissionForm.REQUEST, NodeFixture.IDEMPOTENT, 1);
        SendTask first = node.lastAction(SendTask.class);
        node.submit(SubmissionForm.JOB, NodeFixture.NOT_IDEMPOTENT, 1);
        node.endTask(first, SendResult.LOST);
        node.advance(NodeFixture.DEADLINE);
        assertEquals(node.problemOf(request).code().outcome(), Outcome.UNKNOWN);
    }

    /** Guards against a queued job answered as unknown, or without a retry-after time, at its deadline. */
    @Test
    public void testDeadline_inQueueIsNotRunWithRetryAfter() {
        NodeFixture node = NodeFixture.serving(1);
        node.submit(SubmissionForm.JOB, NodeFixture.NOT_IDEMPOTENT, 1);
        SubmissionId waiting = node.submit(SubmissionForm.JOB, NodeFixture.NOT_IDEMPOTENT, 1);
        node.advance(NodeFixture.DEADLINE);
        assertEquals(node.problemOf(waiting).code(), ProblemCode.EXPIRED_IN_QUEUE);
        assertTrue(node.problemOf(waiting).retryAfter().isPresent());
    }

    /** Guards against a repeated end that frees a slot twice or starts a task of a job again. */
    @Test
    public void testTaskEnded_repeatedEventIsDropped() {
        NodeFixture node = NodeFixture.serving(1);
        node.submit(SubmissionForm.JOB, NodeFixture.NOT_IDEMPOTENT, 1);
        SendTask first = node.lastAction(SendTask.class);
        node.endTask(first, SendResult.REFUSED_BUSY);
        node.advance(Duration.ofSeconds(1));
        SendTask second = node.lastAction(SendTask.class);
        assertEquals(second.attempt(), 2);
        node.endTask(first, SendResult.REFUSED_BUSY);
        node.advance(Duration.ofSeconds(1));
        assertEquals(node.lastAction(SendTask.class), second);
    }

    /** Guards against a busy-refused task that stays queued because another event came in place of its wake-up. */
    @Test
    public void testSendRefused_waitEndsAtAnotherEvent() {
        NodeFixture node = NodeFixture.serving(1);
        node.submit(SubmissionForm.JOB, NodeFixture.NOT_IDEMPOTENT, 1);
        node.endTask(node.lastAction(SendTask.class), SendResult.REFUSED_BUSY);
        node.advanceAndHandle(Duration.ofSeconds(1), new PlatformFailed(PlatformPart.VM_LIST, "out"));
        assertEquals(node.allActions(SendTask.class).size(), 2);
    }

    /** Guards against a team that fills the queue and so causes the submissions of other teams to be refused. */
    @Test
    public void testAdmission_fullQueueLeavesOtherTeamsTheirShare() {
        NodeFixture node = NodeFixture.serving(1, 10);
        node.submit("members", SubmissionForm.JOB, NodeFixture.NOT_IDEMPOTENT, 9, Optional.empty());
        SubmissionId refused =
                node.submit("members", SubmissionForm.JOB, NodeFixture.NOT_IDEMPOTENT, 5, Optional.empty());
        assertEquals(node.problemOf(refused).code(), ProblemCode.QUEUE_FULL);
        SubmissionId taken =
                node.submit("authors", SubmissionForm.JOB, NodeFixture.NOT_IDEMPOTENT, 5, Optional.empty());
        assertTrue(node.allActions(AnswerProblem.class).stream()
                .noneMatch(answer -> answer.submission().equals(taken)));
    }

    /** Guards against healthy endpoints that are quarantined because many of their tasks were cancelled. */
    @Test
    public void testCancel_manyCancelsQuarantineNoEndpoint() {
        NodeFixture node = NodeFixture.servingWithTwoEndpoints(8);
        for (int wave = 0; wave < 10; wave++) {
            SubmissionId job = node.submit(SubmissionForm.JOB, NodeFixture.NOT_IDEMPOTENT, 2);
            List<SendTask> sends = node.allActions(SendTask.class);
            node.handle(new CancelRequested(job, CancelCause.CALLER));
            node.endTask(sends.get(sends.size() - 1), SendResult.TASK_FAILED);
            node.endTask(sends.get(sends.size() - 2), SendResult.LOST);
        }
        assertTrue(
                node.allActions(Note.class).stream().noneMatch(note -> note.event() == NoteEvent.ENDPOINT_QUARANTINED));
        assertEquals(node.allActions(SendTask.class).size(), 20);
    }

    /** Guards against a job that takes slots although it cannot finish before its deadline. */
    @Test
    public void testJob_thatWouldMissItsDeadlineIsNotStarted() {
        NodeFixture node = NodeFixture.serving(2);
        recordRunTimes(node, Duration.ofMillis(1_500));
        SubmissionId first = node.submit(SubmissionForm.JOB, NodeFixture.NOT_IDEMPOTENT, 8);
        SubmissionId second = node.submit(SubmissionForm.JOB, NodeFixture.NOT_IDEMPOTENT, 8);
        for (int round = 0; round < 4; round++) {
            node.advance(Duration.ofMillis(1_500));
            List<SendTask> sends = node.allActions(SendTask.class);
            node.endTask(sends.get(sends.size() - 2), SendResult.SUCCEEDED);
            node.endTask(sends.get(sends.size() - 1), SendResult.SUCCEEDED);
        }
        assertEquals(node.lastAction(AnswerComplete.class).submission(), first);
        assertEquals(node.problemOf(second).code(), ProblemCode.WOULD_MISS_DEADLINE);
        assertTrue(node.problemOf(second).retryAfter().isPresent());
        assertEquals(
                node.problemOf(node.submit(SubmissionForm.JOB, NodeFixture.NOT_IDEMPOTENT, 16))
                        .code(),
                ProblemCode.WOULD_MISS_DEADLINE);
    }

    private static void recordRunTimes(NodeFixture node, Duration runTime) {
        for (int round = 0; round < 10; round++) {
            node.submit(SubmissionForm.REQUEST, NodeFixture.NOT_IDEMPOTENT, 1);
            SendTask send = node.lastAction(SendTask.class);
            node.advance(runTime);
            node.endTask(send, SendResult.SUCCEEDED);
        }
    }

    @Test
    public void testAdmission_jobOverTheTaskLimit() {
        NodeFixture node = NodeFixture.serving(8);
        SubmissionId job = node.submit(SubmissionForm.JOB, NodeFixture.NOT_IDEMPOTENT, 111);
        assertEquals(node.problemOf(job).code(), ProblemCode.OVER_LIMIT);
        assertFalse(node.problemOf(job).retryAfter().isPresent());
    }

    @Test
    public void testKey_secondSubmissionGetsTheSameAnswer() {
        NodeFixture node = NodeFixture.serving(8);
        SubmissionId first = node.submitKeyed(NodeFixture.NOT_IDEMPOTENT, "k");
        winClaims(node);
        SubmissionId joined = node.submitKeyed(NodeFixture.NOT_IDEMPOTENT, "k");
        node.endTask(node.lastAction(SendTask.class), SendResult.SUCCEEDED);
        SubmissionId late = node.submitKeyed(NodeFixture.NOT_IDEMPOTENT, "k");
        assertEquals(node.allActions(SendTask.class).size(), 1);
        assertEquals(
                node.allActions(AnswerSameAs.class),
                List.of(new AnswerSameAs(joined, first), new AnswerSameAs(late, first)));
    }

    /** Guards against a lost idempotent task that is not run again because the answer of its key is kept. */
    @Test
    public void testKey_lostTaskRunsAgainOnlyIfIdempotent() {
        NodeFixture node = NodeFixture.serving(8);
        node.submitKeyed(NodeFixture.IDEMPOTENT, "pass");
        node.endTask(node.lastAction(SendTask.class), SendResult.LOST);
        node.submitKeyed(NodeFixture.IDEMPOTENT, "pass");
        assertEquals(node.allActions(SendTask.class).size(), 2);
        node.submitKeyed(NodeFixture.NOT_IDEMPOTENT, "count");
        winClaims(node);
        node.endTask(node.lastAction(SendTask.class), SendResult.LOST);
        SubmissionId again = node.submitKeyed(NodeFixture.NOT_IDEMPOTENT, "count");
        assertEquals(node.problemOf(again).code(), ProblemCode.ANSWER_LOST);
        assertEquals(node.allActions(SendTask.class).size(), 3);
    }

    /** Guards against a node that takes its own claim for another node's after the reply to the write was lost. */
    @Test
    public void testKey_lostReplyIsReadBack() {
        NodeFixture node = NodeFixture.serving(8);
        node.submitKeyed(NodeFixture.NOT_IDEMPOTENT, "k");
        WriteClaims write = node.lastAction(WriteClaims.class);
        node.handle(new ClaimsUncertain(write.batch(), true, "reply lost"));
        ReadClaims read = node.lastAction(ReadClaims.class);
        assertTrue(node.allActions(SendTask.class).isEmpty());
        Claim own = read.claims().get(0);
        node.handle(new ClaimsRead(read.batch(), ImmutableList.of(new ClaimResult(own, Optional.of(own)))));
        assertEquals(node.allActions(SendTask.class).size(), 1);
        assertEquals(node.allActions(WriteClaims.class).size(), 1);
    }

    /** Guards against submissions refused in an outage of the table service although they need no claim. */
    @Test
    public void testKey_storeOutageRefusesOnlySubmissionsWithClaims() {
        NodeFixture node = NodeFixture.serving(8);
        SubmissionId keyed = node.submitKeyed(NodeFixture.NOT_IDEMPOTENT, "k");
        node.handle(new ClaimsUncertain(node.lastAction(WriteClaims.class).batch(), false, "refused"));
        assertEquals(node.problemOf(keyed).code(), ProblemCode.CLAIM_UNAVAILABLE);
        assertTrue(node.problemOf(keyed).retryAfter().isPresent());
        node.submitKeyed(NodeFixture.IDEMPOTENT, "l");
        node.submit(SubmissionForm.JOB, NodeFixture.NOT_IDEMPOTENT, 1);
        assertEquals(node.allActions(SendTask.class).size(), 2);
    }

    /** Guards against a key blocked by a claim that was written after its submission was cancelled. */
    @Test
    public void testKey_claimWonAfterCancelIsReleased() {
        NodeFixture node = NodeFixture.serving(8);
        SubmissionId keyed = node.submitKeyed(NodeFixture.NOT_IDEMPOTENT, "k");
        node.handle(new CancelRequested(keyed, CancelCause.CALLER));
        assertEquals(node.problemOf(keyed).code(), ProblemCode.CANCELLED);
        winClaims(node);
        assertTrue(node.allActions(SendTask.class).isEmpty());
        assertEquals(
                node.lastAction(ReleaseClaim.class).claim(),
                node.lastAction(WriteClaims.class).claims().get(0));
    }

    /** Guards against claims that are never deleted and fill the table within weeks. */
    @Test
    public void testSweepClaims_oldClaimsOnly() {
        NodeFixture node = NodeFixture.serving(8);
        node.advance(Duration.ofHours(4));
        assertEquals(node.allActions(SweepClaims.class), List.of(new SweepClaims(Duration.ofHours(24))));
    }

    /** Guards against a keyed submission that is stopped because its caller lost the connection. */
    @Test
    public void testHangUp_keyedWorkContinues() {
        NodeFixture node = NodeFixture.serving(8);
        SubmissionId keyed = node.submitKeyed(NodeFixture.NOT_IDEMPOTENT, "k");
        winClaims(node);
        node.handle(new CancelRequested(keyed, CancelCause.HANG_UP));
        SubmissionId again = node.submitKeyed(NodeFixture.NOT_IDEMPOTENT, "k");
        node.endTask(node.lastAction(SendTask.class), SendResult.SUCCEEDED);
        assertEquals(node.lastAction(AnswerSameAs.class), new AnswerSameAs(again, keyed));
    }

    /** Guards against submissions ended or refused too early by a node that is stopped under load. */
    @Test
    public void testDrain_finishesOpenSubmissions() {
        NodeFixture node = NodeFixture.serving(8);
        node.submit(SubmissionForm.JOB, NodeFixture.NOT_IDEMPOTENT, 1);
        SendTask running = node.lastAction(SendTask.class);
        node.handle(new DrainRequested("test"));
        node.submit(SubmissionForm.JOB, NodeFixture.NOT_IDEMPOTENT, 1);
        assertEquals(node.allActions(SendTask.class).size(), 2);
        node.advance(NodePolicy.DEFAULT.drainDelay());
        SubmissionId refused = node.submit(SubmissionForm.JOB, NodeFixture.NOT_IDEMPOTENT, 1);
        assertEquals(node.problemOf(refused).code(), ProblemCode.DRAINING);
        node.endTask(running, SendResult.SUCCEEDED);
        assertEquals(node.lastAction(PhaseChanged.class).phase(), NodePhase.FINISHING);
        node.endTask(node.lastAction(SendTask.class), SendResult.SUCCEEDED);
        assertEquals(node.lastAction(PhaseChanged.class).phase(), NodePhase.LEFT);
    }

    @Test
    public void testDrain_deadlineEndsOpenSubmissions() {
        NodeFixture node = NodeFixture.serving(8);
        SubmissionId job = node.submit(SubmissionForm.JOB, NodeFixture.NOT_IDEMPOTENT, 1);
        node.handle(new DrainRequested("test"));
        node.advance(NodeFixture.DEADLINE.minusSeconds(1));
        node.advance(NodePolicy.DEFAULT.drainDeadline());
        assertEquals(node.problemOf(job).code().outcome(), Outcome.UNKNOWN);
        assertEquals(node.lastAction(PhaseChanged.class).phase(), NodePhase.LEFT);
    }

    private static void winClaims(NodeFixture node) {
        WriteClaims write = node.lastAction(WriteClaims.class);
        ImmutableList<ClaimResult> won = write.claims().stream()
                .map(claim -> new ClaimResult(claim, Optional.of(claim)))
                .collect(ImmutableList.toImmutableList());
        node.handle(new ClaimsWritten(write.batch(), won));
    }
}
