package org.tarragonarch.standin.scenario;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tarragonarch.core.action.Action;
import org.tarragonarch.core.action.AnswerComplete;
import org.tarragonarch.core.action.AnswerFromPeer;
import org.tarragonarch.core.action.AnswerProblem;
import org.tarragonarch.core.action.AnswerSameAs;
import org.tarragonarch.core.action.ConfigurationInForce;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.action.PhaseChanged;
import org.tarragonarch.core.action.SendTask;
import org.tarragonarch.core.event.SubmissionArrived;
import org.tarragonarch.entry.trace.TraceLine;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.report.NodePhase;

/** The replay of one node's trace; it observes only what the node's actions show. */
final class TraceRun implements ObservedRun, ObservedRun.ObservedNode {
    private static final String COMPLETE = "complete";

    private final Map<SubmissionId, ObservedSubmission> answers = new LinkedHashMap<>();
    private final Map<SubmissionId, Long> arrivedNanos = new LinkedHashMap<>();
    private final List<ObservedStart> sends = new ArrayList<>();
    private final Map<NoteEvent, Integer> notes = new EnumMap<>(NoteEvent.class);
    private String name = "";
    private long startNanos = -1;
    private ConfigurationVersion configuration = ConfigurationVersion.NONE;
    private NodePhase phase = NodePhase.STARTING;

    /** Converts a time of the trace to the time since its first action, in nanoseconds. */
    long nanosSinceStart(long nanos) {
        startNanos = startNanos < 0 ? nanos : startNanos;
        return nanos - startNanos;
    }

    void recordAction(TraceLine line, Action action) {
        long nanos = nanosSinceStart(line.nanos());
        if (line.event() instanceof SubmissionArrived arrived) {
            arrivedNanos.putIfAbsent(arrived.id(), nanos);
        }
        if (action instanceof SendTask send) {
            sends.add(new ObservedStart(send.task().toString(), send.endpoint().value(), nanos));
        } else if (action instanceof ConfigurationInForce inForce) {
            configuration = inForce.catalog().version();
        } else if (action instanceof PhaseChanged changed) {
            phase = changed.phase();
        } else if (action instanceof Note note) {
            notes.merge(note.event(), 1, Integer::sum);
        } else {
            recordIfAnswer(action, nanos);
        }
    }

    private void recordIfAnswer(Action action, long nanos) {
        if (action instanceof AnswerProblem answer) {
            String outcome = answer.problem().code().outcome().word();
            putAnswer(answer.submission(), outcome, Optional.of(answer.problem()), nanos);
        } else if (action instanceof AnswerComplete answer) {
            putAnswer(answer.submission(), COMPLETE, Optional.empty(), nanos);
        } else if (action instanceof AnswerSameAs answer) {
            putAnswer(answer.submission(), COMPLETE, Optional.empty(), nanos);
        } else if (action instanceof AnswerFromPeer answer) {
            putAnswer(answer.submission(), COMPLETE, Optional.empty(), nanos);
        }
    }

    private void putAnswer(SubmissionId id, String outcome, Optional<Problem> problem, long nanos) {
        name = id.node().value();
        long sent = arrivedNanos.getOrDefault(id, nanos);
        answers.put(id, new ObservedSubmission(id, sent, outcome, problem, nanos));
    }

    @Override
    public ImmutableList<ObservedSubmission> submissions(String wanted) {
        return answers.values().stream()
                .filter(answer ->
                        wanted.equals("every") || answer.id().toString().equals(wanted))
                .collect(ImmutableList.toImmutableList());
    }

    @Override
    public ImmutableList<ObservedNode> nodes(String wanted) {
        return ImmutableList.of(this);
    }

    @Override
    public ImmutableList<ObservedStart> starts(String wanted) {
        return sends.stream()
                .filter(send -> send.endpoint().startsWith(wanted))
                .collect(ImmutableList.toImmutableList());
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public ConfigurationVersion configuration() {
        return configuration;
    }

    @Override
    public NodePhase phase() {
        return phase;
    }

    @Override
    public int noteCount(NoteEvent event) {
        return notes.getOrDefault(event, 0);
    }

    @Override
    public int livePeerCount() {
        return noteCount(NoteEvent.PEER_ALIVE) - noteCount(NoteEvent.PEER_SILENT);
    }
}
