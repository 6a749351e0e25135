package org.tarragonarch.standin.scenario;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.report.NodePhase;

/** What expectations look at, whether it comes from a scenario's run or from the replay of a trace. */
public interface ObservedRun {
    /** Returns the submissions of this name; of a trace, the one with this id, or {@code every}. */
    ImmutableList<ObservedSubmission> submissions(String name);

    /** Returns the nodes of a domain, the one node of this name, or {@code all}. */
    ImmutableList<ObservedNode> nodes(String name);

    /** Returns each start of a task on an endpoint, or on those of a domain. */
    ImmutableList<ObservedStart> starts(String name);

    /** What is to be seen of one node. */
    interface ObservedNode {
        /** Returns the node's name. */
        String name();

        /** Returns the version in force. */
        ConfigurationVersion configuration();

        /** Returns the phase. */
        NodePhase phase();

        /** Returns how often something was noted. */
        int noteCount(NoteEvent event);

        /** Returns how many peers are alive. */
        int livePeerCount();
    }
}
