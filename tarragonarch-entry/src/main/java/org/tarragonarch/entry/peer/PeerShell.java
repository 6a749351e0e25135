package org.tarragonarch.entry.peer;

import java.util.Optional;
import org.tarragonarch.core.action.AskPeerAnswer;
import org.tarragonarch.core.action.GivePeerAnswer;
import org.tarragonarch.core.action.LoadConfiguration;
import org.tarragonarch.core.action.SendReport;
import org.tarragonarch.core.event.PeerAnswer;
import org.tarragonarch.core.event.PeerAnswerArrived;
import org.tarragonarch.core.node.NodeIdentity;
import org.tarragonarch.entry.body.BodyStore;
import org.tarragonarch.entry.catalog.CatalogInForce;
import org.tarragonarch.entry.catalog.ConfigurationTexts;
import org.tarragonarch.entry.control.EventSink;
import org.tarragonarch.entry.metrics.NodeMetrics;
import org.tarragonarch.entry.platform.ConfigurationLoader;

/** Talks to other entry nodes for the core. Not joined to the wire yet: every question comes to nothing. */
public final class PeerShell implements AutoCloseable {
    private final ConfigurationLoader loader;
    private final EventSink events;

    private PeerShell(ConfigurationLoader loader, EventSink events) {
        this.loader = loader;
        this.events = events;
    }

    /** Returns a shell that does not listen yet. */
    public static PeerShell create(
            NodeIdentity identity,
            BodyStore bodies,
            CatalogInForce catalog,
            ConfigurationTexts texts,
            ConfigurationLoader loader,
            EventSink events,
            NodeMetrics metrics) {
        return new PeerShell(loader, events);
    }

    /** Takes hold of the peer port. */
    public void open() {}

    /** Sends a report. */
    public void sendReport(SendReport action) {}

    /** Asks the node that holds a key for its answer. */
    public void askAnswer(AskPeerAnswer action) {
        events.post(new PeerAnswerArrived(action.waiting(), PeerAnswer.NOT_TO_BE_HAD, Optional.empty()));
    }

    /** Gives a peer the answer that it asked for. */
    public void giveAnswer(GivePeerAnswer action) {}

    /** Loads a configuration from a peer. */
    public void loadConfiguration(LoadConfiguration action) {
        events.post(loader.failed(action.version(), action.peer().toString(), "peers cannot be asked yet"));
    }

    @Override
    public void close() {}
}
