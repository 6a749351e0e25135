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
    public void testJob_answeredWholeAfterItsLastTask() {
        NodeFixture node = NodeFixture.serving(8);
        SubmissionId job = node.submit(SubmissionForm.JOB, NodeFixture.ONCE, 3);
        List<SendTask> sends = node.all(SendTask.class);
        assertEquals(sends.size(), 3);
        node.end(sends.get(2), SendResult.SUCCEEDED);
        node.end(sends.get(0), SendResult.SUCCEEDED);
        assertTrue(node.all(AnswerComplete.class).isEmpty());
        node.end(sends.get(1), SendResult.SUCCEEDED);
        assertEquals(node.all(AnswerComplete.class), List.of(new AnswerComplete(job)));
    }

    /**
     * A worker dies in the middle of a word count. The author must not be charged by a second count, so the job is not
     * placed again: it is answered unknown, at once, and the tasks that have not started never start.
     */
    @Test
    public void testJob_lostAnswerIsUnknownAtOnce() {
        NodeFixture node = NodeFixture.serving(1);
        SubmissionId job = node.submit(SubmissionForm.JOB, NodeFixture.IDEMPOTENT, 3);
        node.end(node.last(SendTask.class), SendResult.LOST);
        assertEquals(node.problemOf(job).code(), ProblemCode.ANSWER_LOST);
        node.pass(Duration.ofSeconds(1));
        assertEquals(node.all(SendTask.class).size(), 1);
    }

    /**
     * A worker dies under a job of long tasks, whose other tasks run on elsewhere for nobody. They had run longer than
     * such tasks are expected to, so they were taken for nearly done and not stopped: the next caller waited for their
     * room until they ended, six seconds later.
     */
    @Test
    public void testJob_tasksThatOverrunAreStoppedAfterALoss() {
        NodeFixture node = NodeFixture.serving(2);
        node.submit(SubmissionForm.JOB, NodeFixture.ONCE, 2);
        List<SendTask> sends = node.all(SendTask.class);
        node.pass(Duration.ofSeconds(1));
        node.end(sends.get(0), SendResult.LOST);
        assertTrue(node.last(StopTask.class).sendStop());
    }

    /**
     * The same worker dies at the very moment at which the other tasks were expected to end. They do not end: an
     * expectation is often false, and a task that was left to end by itself kept its slot for as long as it ran, so
     * that the next caller got no answer.
     */
    @Test
    public void testJob_tasksAtTheirExpectedEndAreStoppedAfterALoss() {
        NodeFixture node = NodeFixture.serving(2);
        node.submit(SubmissionForm.JOB, NodeFixture.ONCE, 2);
        List<SendTask> sends = node.all(SendTask.class);
        node.pass(NodeFixture.EXPECTED_RUN_TIME);
        node.end(sends.get(0), SendResult.LOST);
        assertTrue(node.last(StopTask.class).sendStop());
    }

    @Test
    public void testRequest_idempotentIsTriedAgain() {
        NodeFixture node = NodeFixture.serving(8);
        SubmissionId request = node.submit(SubmissionForm.REQUEST, NodeFixture.IDEMPOTENT, 1);
        node.end(node.last(SendTask.class), SendResult.LOST);
        SendTask second = node.last(SendTask.class);
        assertEquals(second.attempt(), 2);
        node.end(second, SendResult.SUCCEEDED);
        assertEquals(node.last(AnswerComplete.class).submission(), request);
    }

    /**
     * An idempotent request loses its first answer and waits for a slot to be tried again; its deadline passes there.
     * The first attempt may have run, so the caller must not read not-run, although the task is queued.
     */
    @Test
    public void testRequest_deadlineWhileWaitingForRetryIsUnknown() {
        NodeFixture node = NodeFixture.serving(1);
        SubmissionId request = node.submit(SubmissionForm.REQUEST, NodeFixture.IDEMPOTENT, 1);
        SendTask first = node.last(SendTask.class);
        node.submit(SubmissionForm.JOB, NodeFixture.ONCE, 1);
        node.end(first, SendResult.LOST);
        node.pass(NodeFixture.DEADLINE);
        assertEquals(node.problemOf(request).code().outcome(), Outcome.UNKNOWN);
    }

    /**
     * All slots are taken and a job waits until its deadline. Nothing of it has left the node, so its caller is told
     * that it did not run, and when to come back.
     */
    @Test
    public void testDeadline_inQueueIsNotRunWithTimeToComeBack() {
        NodeFixture node = NodeFixture.serving(1);
        node.submit(SubmissionForm.JOB, NodeFixture.ONCE, 1);
        SubmissionId waiting = node.submit(SubmissionForm.JOB, NodeFixture.ONCE, 1);
        node.pass(NodeFixture.DEADLINE);
        assertEquals(node.problemOf(waiting).code(), ProblemCode.EXPIRED_IN_QUEUE);
        assertTrue(node.problemOf(waiting).retryAfter().isPresent());
    }

    /**
     * An endpoint reports the end of a task twice. The second report must neither free the slot twice nor touch the
     * task's next attempt, or a task of a job would start again.
     */
    @Test
    public void testTaskEnded_secondReportIsDropped() {
        NodeFixture node = NodeFixture.serving(1);
        node.submit(SubmissionForm.JOB, NodeFixture.ONCE, 1);
        SendTask first = node.last(SendTask.class);
        node.end(first, SendResult.REFUSED_BUSY);
        node.pass(Duration.ofSeconds(1));
        SendTask second = node.last(SendTask.class);
        assertEquals(second.attempt(), 2);
        node.end(first, SendResult.REFUSED_BUSY);
        node.pass(Duration.ofSeconds(1));
        assertEquals(node.last(SendTask.class), second);
    }

    /**
     * A task was refused as busy and waits for the endpoint's rest to be over. Just then something else happens, which
     * takes the place of the wake-up; the task must not wait for the next event after that, long after.
     */
    @Test
    public void testRefused_waitThatEndsWithAnotherEvent() {
        NodeFixture node = NodeFixture.serving(1);
        node.submit(SubmissionForm.JOB, NodeFixture.ONCE, 1);
        node.end(node.last(SendTask.class), SendResult.REFUSED_BUSY);
        node.passUntil(Duration.ofSeconds(1), new PlatformFailed(PlatformPart.VM_LIST, "out"));
        assertEquals(node.all(SendTask.class).size(), 2);
    }

    /**
     * One team sends more than the queue holds. The other team's authors would be refused although they use nothing:
     * over the bound, a team below its fair part of the queue is still taken.
     */
    @Test
    public void testAdmission_fullQueueLeavesOtherTeamsTheirPart() {
        NodeFixture node = NodeFixture.serving(1, 10);
        node.submit("members", SubmissionForm.JOB, NodeFixture.ONCE, 9, Optional.empty());
        SubmissionId refused = node.submit("members", SubmissionForm.JOB, NodeFixture.ONCE, 5, Optional.empty());
        assertEquals(node.problemOf(refused).code(), ProblemCode.QUEUE_FULL);
        SubmissionId taken = node.submit("authors", SubmissionForm.JOB, NodeFixture.ONCE, 5, Optional.empty());
        assertTrue(node.all(AnswerProblem.class).stream()
                .noneMatch(answer -> answer.submission().equals(taken)));
    }

    /**
     * A wave of authors gives up: their running tasks are stopped and end as failed or lost. The worker did nothing
     * wrong, and must not be put into quarantine for it while others wait.
     */
    @Test
    public void testCancelWave_putsNoEndpointIntoQuarantine() {
        NodeFixture node = NodeFixture.servingWithTwoEndpoints(8);
        for (int wave = 0; wave < 10; wave++) {
            SubmissionId job = node.submit(SubmissionForm.JOB, NodeFixture.ONCE, 2);
            List<SendTask> sends = node.all(SendTask.class);
            node.hand(new CancelRequested(job, CancelCause.CALLER));
            node.end(sends.get(sends.size() - 1), SendResult.TASK_FAILED);
            node.end(sends.get(sends.size() - 2), SendResult.LOST);
        }
        assertTrue(node.all(Note.class).stream().noneMatch(note -> note.event() == NoteEvent.ENDPOINT_QUARANTINED));
        assertEquals(node.all(SendTask.class).size(), 20);
    }

    /**
     * Two jobs that each need the slots for most of their time come at once. Once the first has run, the second can no
     * longer finish; started all the same, it would take the slots from others and be answered unknown. It is told at
     * once that it did not run. A third one that cannot finish even alone is refused at the door.
     */
    @Test
    public void testJob_thatCanNoLongerFinishIsNotStarted() {
        NodeFixture node = NodeFixture.serving(2);
        teachRunTime(node, Duration.ofMillis(1_500));
        SubmissionId first = node.submit(SubmissionForm.JOB, NodeFixture.ONCE, 8);
        SubmissionId second = node.submit(SubmissionForm.JOB, NodeFixture.ONCE, 8);
        for (int round = 0; round < 4; round++) {
            node.pass(Duration.ofMillis(1_500));
            List<SendTask> sends = node.all(SendTask.class);
            node.end(sends.get(sends.size() - 2), SendResult.SUCCEEDED);
            node.end(sends.get(sends.size() - 1), SendResult.SUCCEEDED);
        }
        assertEquals(node.last(AnswerComplete.class).submission(), first);
        assertEquals(node.problemOf(second).code(), ProblemCode.WOULD_MISS_DEADLINE);
        assertTrue(node.problemOf(second).retryAfter().isPresent());
        assertEquals(
                node.problemOf(node.submit(SubmissionForm.JOB, NodeFixture.ONCE, 16))
                        .code(),
                ProblemCode.WOULD_MISS_DEADLINE);
    }

    private static void teachRunTime(NodeFixture node, Duration runTime) {
        for (int round = 0; round < 10; round++) {
            node.submit(SubmissionForm.REQUEST, NodeFixture.ONCE, 1);
            SendTask send = node.last(SendTask.class);
            node.pass(runTime);
            node.end(send, SendResult.SUCCEEDED);
        }
    }

    @Test
    public void testAdmission_jobThatCanNeverRun() {
        NodeFixture node = NodeFixture.serving(8);
        SubmissionId job = node.submit(SubmissionForm.JOB, NodeFixture.ONCE, 111);
        assertEquals(node.problemOf(job).code(), ProblemCode.OVER_LIMIT);
        assertFalse(node.problemOf(job).retryAfter().isPresent());
    }

    @Test
    public void testKey_secondSubmissionGetsTheSameAnswer() {
        NodeFixture node = NodeFixture.serving(8);
        SubmissionId first = node.submitKeyed(NodeFixture.ONCE, "k");
        win(node);
        SubmissionId joined = node.submitKeyed(NodeFixture.ONCE, "k");
        node.end(node.last(SendTask.class), SendResult.SUCCEEDED);
        SubmissionId late = node.submitKeyed(NodeFixture.ONCE, "k");
        assertEquals(node.all(SendTask.class).size(), 1);
        assertEquals(
                node.all(AnswerSameAs.class), List.of(new AnswerSameAs(joined, first), new AnswerSameAs(late, first)));
    }

    /**
     * A worker dies under a spelling pass; its job is answered unknown. The author's page sends it again under the same
     * key. A pass may run twice, so it must run, and not be answered unknown for as long as answers are kept; a word
     * count, which may not, keeps its answer.
     */
    @Test
    public void testKey_lostWorkRunsAgainOnlyIfIdempotent() {
        NodeFixture node = NodeFixture.serving(8);
        node.submitKeyed(NodeFixture.IDEMPOTENT, "pass");
        node.end(node.last(SendTask.class), SendResult.LOST);
        node.submitKeyed(NodeFixture.IDEMPOTENT, "pass");
        assertEquals(node.all(SendTask.class).size(), 2);
        node.submitKeyed(NodeFixture.ONCE, "count");
        win(node);
        node.end(node.last(SendTask.class), SendResult.LOST);
        SubmissionId again = node.submitKeyed(NodeFixture.ONCE, "count");
        assertEquals(node.problemOf(again).code(), ProblemCode.ANSWER_LOST);
        assertEquals(node.all(SendTask.class).size(), 3);
    }

    /**
     * The write that claims a key takes effect but its reply is lost. Writing again would find the own row and take
     * it for another node's; the rows are read back instead, and the job runs once.
     */
    @Test
    public void testKey_lostReplyIsReadBack() {
        NodeFixture node = NodeFixture.serving(8);
        node.submitKeyed(NodeFixture.ONCE, "k");
        WriteClaims write = node.last(WriteClaims.class);
        node.hand(new ClaimsUncertain(write.batch(), true, "reply lost"));
        ReadClaims read = node.last(ReadClaims.class);
        assertTrue(node.all(SendTask.class).isEmpty());
        Claim own = read.claims().get(0);
        node.hand(new ClaimsRead(read.batch(), ImmutableList.of(new ClaimResult(own, Optional.of(own)))));
        assertEquals(node.all(SendTask.class).size(), 1);
        assertEquals(node.all(WriteClaims.class).size(), 1);
    }

    /**
     * The table service is out. A keyed word count cannot be claimed, so it is refused at once as not run and its
     * claim given back; a spelling pass under a key and a word count without one go on.
     */
    @Test
    public void testKey_storeOutRefusesOnlyWhatNeedsIt() {
        NodeFixture node = NodeFixture.serving(8);
        SubmissionId keyed = node.submitKeyed(NodeFixture.ONCE, "k");
        node.hand(new ClaimsUncertain(node.last(WriteClaims.class).batch(), false, "refused"));
        assertEquals(node.problemOf(keyed).code(), ProblemCode.CLAIM_UNAVAILABLE);
        assertTrue(node.problemOf(keyed).retryAfter().isPresent());
        node.submitKeyed(NodeFixture.IDEMPOTENT, "l");
        node.submit(SubmissionForm.JOB, NodeFixture.ONCE, 1);
        assertEquals(node.all(SendTask.class).size(), 2);
    }

    /**
     * A submission is cancelled while its claim is being written. Nothing ran, so its caller may send it again, to any
     * node: the claim that arrives late is given back.
     */
    @Test
    public void testKey_claimWonAfterTheEndIsReleased() {
        NodeFixture node = NodeFixture.serving(8);
        SubmissionId keyed = node.submitKeyed(NodeFixture.ONCE, "k");
        node.hand(new CancelRequested(keyed, CancelCause.CALLER));
        assertEquals(node.problemOf(keyed).code(), ProblemCode.CANCELLED);
        win(node);
        assertTrue(node.all(SendTask.class).isEmpty());
        assertEquals(
                node.last(ReleaseClaim.class).claim(),
                node.last(WriteClaims.class).claims().get(0));
    }

    /** Claims that nobody deletes would fill the table within weeks; each node has old ones deleted now and then. */
    @Test
    public void testSweep_oldClaimsOnly() {
        NodeFixture node = NodeFixture.serving(8);
        node.pass(Duration.ofHours(4));
        assertEquals(node.all(SweepClaims.class), List.of(new SweepClaims(Duration.ofHours(24))));
    }

    /**
     * A caller loses its connection after its renewal was sent, and comes back with the same key. The renewal runs on
     * and the caller gets its answer; without a key nobody could ask for it.
     */
    @Test
    public void testHangUp_keyedWorkRunsOn() {
        NodeFixture node = NodeFixture.serving(8);
        SubmissionId keyed = node.submitKeyed(NodeFixture.ONCE, "k");
        win(node);
        node.hand(new CancelRequested(keyed, CancelCause.HANG_UP));
        SubmissionId again = node.submitKeyed(NodeFixture.ONCE, "k");
        node.end(node.last(SendTask.class), SendResult.SUCCEEDED);
        assertEquals(node.last(AnswerSameAs.class), new AnswerSameAs(again, keyed));
    }

    /**
     * A node is told to leave under load. The balancer still sends to it for a while, and those requests are served;
     * what is in flight is finished before the process may end.
     */
    @Test
    public void testDrain_finishesWhatItHas() {
        NodeFixture node = NodeFixture.serving(8);
        node.submit(SubmissionForm.JOB, NodeFixture.ONCE, 1);
        SendTask running = node.last(SendTask.class);
        node.hand(new DrainRequested("test"));
        node.submit(SubmissionForm.JOB, NodeFixture.ONCE, 1);
        assertEquals(node.all(SendTask.class).size(), 2);
        node.pass(NodePolicy.DEFAULT.drainDelay());
        SubmissionId refused = node.submit(SubmissionForm.JOB, NodeFixture.ONCE, 1);
        assertEquals(node.problemOf(refused).code(), ProblemCode.DRAINING);
        node.end(running, SendResult.SUCCEEDED);
        assertEquals(node.last(PhaseChanged.class).phase(), NodePhase.FINISHING);
        node.end(node.last(SendTask.class), SendResult.SUCCEEDED);
        assertEquals(node.last(PhaseChanged.class).phase(), NodePhase.LEFT);
    }

    @Test
    public void testDrain_deadlineCutsTheRest() {
        NodeFixture node = NodeFixture.serving(8);
        SubmissionId job = node.submit(SubmissionForm.JOB, NodeFixture.ONCE, 1);
        node.hand(new DrainRequested("test"));
        node.pass(NodeFixture.DEADLINE.minusSeconds(1));
        node.pass(NodePolicy.DEFAULT.drainDeadline());
        assertEquals(node.problemOf(job).code().outcome(), Outcome.UNKNOWN);
        assertEquals(node.last(PhaseChanged.class).phase(), NodePhase.LEFT);
    }

    private static void win(NodeFixture node) {
        WriteClaims write = node.last(WriteClaims.class);
        ImmutableList<ClaimResult> won = write.claims().stream()
                .map(claim -> new ClaimResult(claim, Optional.of(claim)))
                .collect(ImmutableList.toImmutableList());
        node.hand(new ClaimsWritten(write.batch(), won));
    }
}
