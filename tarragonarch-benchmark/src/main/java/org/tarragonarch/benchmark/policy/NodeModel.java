package org.tarragonarch.benchmark.policy;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.tarragonarch.benchmark.policy.Measures.Waste;
import org.tarragonarch.benchmark.time.VirtualTime;
import org.tarragonarch.core.action.Action;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.action.ProbeEndpoint;
import org.tarragonarch.core.endpoint.Endpoint;
import org.tarragonarch.core.endpoint.EndpointDirectory;
import org.tarragonarch.core.event.ProbeEnded;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.core.event.TaskEnded;
import org.tarragonarch.core.runtime.RunTimeEstimator;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.id.TaskId;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.report.NodePhase;
import org.tarragonarch.model.report.PeerReport;

/** A model of a node that makes its decisions with the directory and the estimator of the core. */
final class NodeModel {
    static final ServiceName SERVICE = ServiceName.of("proof-board");
    static final long DEADLINE_NANOS = 10_000_000_000L;
    private static final int MAX_QUEUED_TASKS = 5000;
    private static final long PROBE_NANOS = 1_000_000;

    final NodeId id;
    final int domain;
    final List<NodeModel> peers = new ArrayList<>();
    final Set<Job> jobs = new LinkedHashSet<>();
    private final PolicyRun run;
    private final VirtualTime time;
    private final EndpointDirectory directory;
    private final RunTimeEstimator estimator = RunTimeEstimator.create();
    private final WorkQueue queue;
    private final TaskId anyTask;
    private final FailureDomain domainName;
    private long sequence;
    private long pausedUntilNanos;
    private long nextWakeUpNanos = Long.MAX_VALUE;
    private boolean reportPending;

    NodeModel(NodeId id, int domain, PolicyRun run, long seed) {
        this.id = id;
        this.domain = domain;
        this.run = run;
        this.time = run.time;
        this.domainName = PolicyRun.domainName(domain);
        this.directory = EndpointDirectory.create(id, domainName, new Random(seed), run.policy.placement());
        this.queue = new WorkQueue(run.policy.fairQueue());
        this.anyTask = new TaskId(new SubmissionId(id, Incarnation.of(1), 0), 0);
    }

    void pause(long nanos) {
        pausedUntilNanos = time.nowNanos() + nanos;
    }

    boolean isPaused() {
        return time.nowNanos() < pausedUntilNanos;
    }

    void vmListRead(ImmutableList<VmRecord> vms) {
        handle(() -> directory.vmListRead(vms, time.nowNanos(), this::perform));
    }

    void setAliveNodes(ImmutableSet<NodeId> nodes) {
        handle(() -> directory.setAliveNodes(nodes, time.nowNanos(), this::perform));
    }

    /** Accepts a job, or refuses it if its expected wait exceeds half of the deadline or the queue is full. */
    void submit(Job job) {
        handle(() -> {
            long expected = estimator.expectedNanos(SERVICE, job.kind, job.declared);
            long work = expected * job.runNanos.length;
            double wait = (double) (queue.nanosAhead(job, work) + work) / Math.max(1, directory.slotsPerNode(SERVICE));
            if (wait > DEADLINE_NANOS / 2 || queue.queuedTasks() + job.runNanos.length > MAX_QUEUED_TASKS) {
                run.jobRefused(job);
                return;
            }
            jobs.add(job);
            queue.add(job, job.runNanos.length, expected);
            time.runAt(job.arrivedNanos + DEADLINE_NANOS, () -> handle(() -> giveUp(job)));
        });
    }

    /** Ends a job at its deadline; its started tasks keep running. */
    private void giveUp(Job job) {
        if (jobs.remove(job)) {
            job.ended = true;
            queue.remove(job);
            run.jobLate(job);
        }
    }

    void cancel(Job job) {
        handle(() -> {
            if (!jobs.remove(job)) {
                return;
            }
            job.ended = true;
            queue.remove(job);
            if (run.shape.objective().stopsStartedTasks()) {
                job.sent.forEach((task, endpoint) -> stop(job, task, endpoint));
            }
        });
    }

    private void stop(Job job, int task, EndpointModel endpoint) {
        long oneWay = run.shape.oneWayNanos(domain, endpoint.domain);
        time.runAfter(oneWay, () -> {
            if (endpoint.stop(job, task)) {
                time.runAfter(oneWay, () -> handle(() -> ended(job, task, endpoint, SendResult.SUCCEEDED)));
            } else {
                run.measures.waste.add(Waste.USELESS_STOP);
            }
        });
    }

    /** Sends a report to every peer of the failure domain. */
    void sendReports() {
        if (isPaused()) {
            return;
        }
        PeerReport report = new PeerReport(
                id,
                Incarnation.of(1),
                sequence++,
                domainName,
                NodePhase.SERVING,
                ConfigurationVersion.of(1),
                directory.views().loads(),
                true,
                directory.views().leaving(),
                directory.views().quarantined());
        for (NodeModel peer : peers) {
            run.measures.waste.add(Waste.REPORT);
            time.runAfter(run.shape.oneWayNanos(domain, domain), () -> peer.reportReceived(report));
        }
    }

    private void reportReceived(PeerReport report) {
        handle(() -> directory.peerReported(report, time.nowNanos(), this::perform));
    }

    /** Runs a handler, now or when the node resumes, and then starts every task that an endpoint has a slot for. */
    private void handle(Runnable handler) {
        if (isPaused()) {
            time.runAt(pausedUntilNanos, () -> handle(handler));
            return;
        }
        handler.run();
        startTasks();
        if (reportPending) {
            reportPending = false;
            sendReports();
        }
        if (directory.nextWakeNanos() < nextWakeUpNanos) {
            nextWakeUpNanos = directory.nextWakeNanos();
            time.runAt(nextWakeUpNanos, () -> handle(this::wake));
        }
    }

    private void wake() {
        nextWakeUpNanos = Long.MAX_VALUE;
        directory.timePassed(time.nowNanos(), this::perform);
    }

    private void startTasks() {
        for (Optional<Job> next = queue.next(); next.isPresent(); next = queue.next()) {
            Optional<Endpoint> endpoint =
                    directory.reserve(SERVICE, run.shape.objective(), ImmutableSet.of(), time.nowNanos());
            if (endpoint.isEmpty()) {
                return;
            }
            queue.recordStarted(next.get());
            send(next.get(), run.endpoints.get(endpoint.get().id()));
        }
    }

    private void send(Job job, EndpointModel endpoint) {
        int task = job.unsentTasks.remove();
        job.sent.put(task, endpoint);
        long oneWay = run.shape.oneWayNanos(domain, endpoint.domain);
        time.runAfter(
                oneWay,
                () -> endpoint.start(
                        job,
                        task,
                        result -> time.runAfter(oneWay, () -> handle(() -> ended(job, task, endpoint, result)))));
    }

    private void ended(Job job, int task, EndpointModel endpoint, SendResult result) {
        job.sent.remove(task);
        TaskEnded ended = new TaskEnded(anyTask, 1, endpoint.id, result, false, "");
        directory.taskEnded(ended, SERVICE, job.kind, job.runNanos[task], time.nowNanos(), this::perform);
        if (result == SendResult.REFUSED_BUSY) {
            run.measures.waste.add(Waste.REFUSED_SEND);
            if (!job.ended) {
                job.unsentTasks.addFirst(task);
                queue.addFirst(job, estimator.expectedNanos(SERVICE, job.kind, job.declared));
            }
            return;
        }
        run.measures.usefulStarts++;
        run.recordSlotUse(job.runNanos[task]);
        if (result == SendResult.TASK_FAILED) {
            run.taskFailed();
            jobs.remove(job);
            job.ended = true;
            queue.remove(job);
            return;
        }
        estimator.observe(SERVICE, job.kind, job.runNanos[task]);
        job.tasksLeft--;
        if (job.tasksLeft == 0 && jobs.remove(job)) {
            run.jobCompleted(this, job);
        }
    }

    private void perform(Action action) {
        if (action instanceof ProbeEndpoint probe) {
            run.measures.waste.add(Waste.PROBE);
            ProbeEnded answer = new ProbeEnded(probe.endpoint(), true, false);
            time.runAfter(
                    PROBE_NANOS, () -> handle(() -> directory.probeEnded(answer, time.nowNanos(), this::perform)));
        } else if (action instanceof Note note && note.event() == NoteEvent.ENDPOINT_QUARANTINED) {
            reportPending = true;
        }
    }
}
