package org.tarragonarch.standin.explore;

import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.tarragonarch.core.action.Action;
import org.tarragonarch.core.action.AnswerComplete;
import org.tarragonarch.core.action.AnswerFromPeer;
import org.tarragonarch.core.action.AnswerProblem;
import org.tarragonarch.core.action.AnswerSameAs;
import org.tarragonarch.core.action.AskPeerAnswer;
import org.tarragonarch.core.action.ConfigurationInForce;
import org.tarragonarch.core.action.GivePeerAnswer;
import org.tarragonarch.core.action.LoadConfiguration;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.action.PhaseChanged;
import org.tarragonarch.core.action.ProbeEndpoint;
import org.tarragonarch.core.action.ReadClaims;
import org.tarragonarch.core.action.ReadConfigurationRow;
import org.tarragonarch.core.action.ReadVmList;
import org.tarragonarch.core.action.ReleaseClaim;
import org.tarragonarch.core.action.SendReport;
import org.tarragonarch.core.action.SendTask;
import org.tarragonarch.core.action.StopTask;
import org.tarragonarch.core.action.WakeAt;
import org.tarragonarch.core.action.WriteClaims;
import org.tarragonarch.core.event.Event;
import org.tarragonarch.core.event.SubmissionArrived;
import org.tarragonarch.core.event.SubmissionForm;
import org.tarragonarch.core.event.TaskShape;
import org.tarragonarch.core.event.TimePassed;
import org.tarragonarch.core.node.EntryNode;
import org.tarragonarch.core.node.NodeIdentity;
import org.tarragonarch.core.status.NodeStatus;
import org.tarragonarch.entry.control.EventRecorder;
import org.tarragonarch.entry.trace.TraceHeader;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.IdempotencyKey;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.report.NodePhase;
import org.tarragonarch.model.service.ServiceCatalog;

/** One run of a node: the real core, driven by fake outer services. */
public final class FakeNode {
    private final NodeIdentity identity;
    private final World world;
    private final EventRecorder recorder;
    private final EntryNode core;
    private final Deque<Event> heldEvents = new ArrayDeque<>();
    private final Map<NoteEvent, Integer> notes = new HashMap<>();
    private Optional<ServiceCatalog> catalog = Optional.empty();
    private NodePhase phase = NodePhase.STARTING;
    private boolean alive = true;
    private boolean frozen;
    private long unfrozenNanos;
    private long wakeNanos;
    private long nextSubmission;

    FakeNode(TraceHeader header, EventRecorder recorder, World world) {
        this.identity = header.identity();
        this.world = world;
        this.recorder = recorder;
        this.core = header.newNode();
    }

    NodeIdentity identity() {
        return identity;
    }

    /** Returns the node's name. */
    public String name() {
        return identity.node().value();
    }

    /** Returns the name of this run of the node. */
    String runName() {
        return name() + "#" + identity.incarnation();
    }

    /** Returns whether this run has not ended. */
    public boolean alive() {
        return alive;
    }

    /** Returns the phase of the node. */
    public NodePhase phase() {
        return phase;
    }

    /** Returns the configuration in force. */
    public Optional<ServiceCatalog> catalog() {
        return catalog;
    }

    /** Returns a snapshot of the core's status. */
    public NodeStatus status() {
        return core.status();
    }

    /** Returns how often the node noted an event. */
    public int noteCount(NoteEvent event) {
        return notes.getOrDefault(event, 0);
    }

    boolean frozen() {
        return frozen;
    }

    long unfrozenNanos() {
        return unfrozenNanos;
    }

    /** Creates the arrival of the next submission to this node. */
    SubmissionArrived nextArrival(
            SubmissionForm form, KindName kind, Optional<String> key, int tasks, Optional<Duration> timeAllowed) {
        byte[] content = (kind + "/" + form + "/" + key + "/" + tasks).getBytes(StandardCharsets.UTF_8);
        return new SubmissionArrived(
                new SubmissionId(identity.node(), identity.incarnation(), nextSubmission++),
                form,
                SampleCatalog.CALLER,
                SampleCatalog.SERVICE,
                kind,
                key.map(IdempotencyKey::new),
                ContentDigest.of(content),
                IntStream.range(0, tasks)
                        .mapToObj(index -> new TaskShape(100, Optional.empty()))
                        .collect(ImmutableList.toImmutableList()),
                timeAllowed);
    }

    void kill() {
        alive = false;
    }

    void freeze() {
        frozen = true;
    }

    void unfreeze() {
        frozen = false;
        unfrozenNanos = world.time().nowNanos();
        while (!heldEvents.isEmpty() && alive) {
            handle(heldEvents.remove());
        }
        deliver(new TimePassed());
    }

    /** Passes an event to the core, or holds it until the node is unfrozen. */
    void deliver(Event event) {
        if (!alive) {
            return;
        }
        if (frozen) {
            heldEvents.add(event);
        } else {
            handle(event);
        }
    }

    private void handle(Event event) {
        List<Action> actions = new ArrayList<>();
        recorder.record(world.time().nowNanos(), event);
        core.handle(world.time().nowNanos(), event, actions::add);
        ImmutableList.copyOf(actions).forEach(this::perform);
    }

    private void perform(Action action) {
        if (action instanceof AnswerProblem answer) {
            world.recordAnswer(this, answer.submission(), Optional.of(answer.problem()));
        } else if (action instanceof AnswerComplete answer) {
            world.recordAnswer(this, answer.submission(), Optional.empty());
        } else if (action instanceof AnswerSameAs answer) {
            world.recordAnswer(this, answer.submission(), Optional.empty());
        } else if (action instanceof AnswerFromPeer answer) {
            world.recordAnswer(this, answer.submission(), Optional.empty());
        } else if (action instanceof WakeAt wake) {
            wakeNanos = wake.nanos();
            world.time().scheduleAt(wake.nanos(), () -> wake(wake.nanos()));
        } else if (action instanceof Note note) {
            notes.merge(note.event(), 1, Integer::sum);
        } else if (action instanceof PhaseChanged changed) {
            phase = changed.phase();
            alive = alive && phase != NodePhase.LEFT;
        } else if (action instanceof ConfigurationInForce inForce) {
            catalog = Optional.of(inForce.catalog());
            world.recordConfiguration(this, inForce.catalog());
        } else {
            callShell(action);
        }
    }

    private void callShell(Action action) {
        Shell shell = world.shell();
        if (action instanceof SendTask send) {
            shell.sendTask(this, send);
        } else if (action instanceof StopTask stop) {
            shell.stopTask(this, stop);
        } else if (action instanceof ProbeEndpoint probe) {
            shell.probeEndpoint(this, probe);
        } else if (action instanceof WriteClaims write) {
            shell.writeClaims(this, write);
        } else if (action instanceof ReadClaims read) {
            shell.readClaims(this, read);
        } else if (action instanceof ReleaseClaim release) {
            shell.releaseClaim(this, release);
        } else if (action instanceof AskPeerAnswer ask) {
            shell.askPeerAnswer(this, ask);
        } else if (action instanceof GivePeerAnswer give) {
            shell.givePeerAnswer(this, give);
        } else if (action instanceof SendReport report) {
            shell.sendReport(this, report);
        } else if (action instanceof ReadVmList) {
            shell.readVmList(this);
        } else if (action instanceof ReadConfigurationRow) {
            shell.readConfigurationRow(this);
        } else if (action instanceof LoadConfiguration load) {
            shell.loadConfiguration(this, load);
        }
    }

    private void wake(long plannedNanos) {
        if (plannedNanos == wakeNanos && !frozen) {
            deliver(new TimePassed());
        }
    }
}
