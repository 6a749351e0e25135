package org.tarragonarch.standin.scenario;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.report.NodePhase;

/** The view of a run that expectations are checked against: a run of a scenario, or the replay of a trace. */
public interface ObservedRun {
    /** Returns the submissions with a name. In a trace, the name is a submission's id, or {@code every} for all. */
    ImmutableList<ObservedSubmission> submissions(String name);

    /** Returns the nodes of a failure domain, the node with a name, or all nodes for {@code all}. */
    ImmutableList<ObservedNode> nodes(String name);

    /** Returns the task starts on an endpoint, or on all endpoints of a failure domain. */
    ImmutableList<ObservedStart> starts(String name);

    /** The observable state of one node. */
    interface ObservedNode {
        /** Returns the node's name. */
        String name();

        /** Returns the version of the configuration in force. */
        ConfigurationVersion configuration();

        /** Returns the phase of the node. */
        NodePhase phase();

        /** Returns how often the node noted an event. */
        int noteCount(NoteEvent event);

        /** Returns how many peers the node sees as alive. */
        int livePeerCount();
    }
}
