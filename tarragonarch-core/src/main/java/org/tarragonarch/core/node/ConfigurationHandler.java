package org.tarragonarch.core.node;

import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.event.ConfigurationLoadFailed;
import org.tarragonarch.core.event.ConfigurationLoaded;
import org.tarragonarch.core.event.ConfigurationRowRead;
import org.tarragonarch.core.event.PlatformFailed;
import org.tarragonarch.core.event.PlatformPart;
import org.tarragonarch.model.outcome.Step;

/** Handles configurations loaded from the platform or from peers, and failed reads of the platform. */
final class ConfigurationHandler {
    private final NodeParts parts;
    private final LifecycleHandler lifecycle;

    ConfigurationHandler(NodeParts parts, LifecycleHandler lifecycle) {
        this.parts = parts;
        this.lifecycle = lifecycle;
    }

    void register(EventHandlers handlers) {
        handlers.register(
                ConfigurationRowRead.class,
                (read, nowNanos, sink) -> parts.configuration.rowRead(read.row(), nowNanos, sink));
        handlers.register(ConfigurationLoaded.class, this::loaded);
        handlers.register(ConfigurationLoadFailed.class, parts.configuration::loadFailed);
        handlers.register(PlatformFailed.class, this::platformFailed);
    }

    private void loaded(ConfigurationLoaded loaded, long nowNanos, ActionSink sink) {
        if (!parts.configuration.loaded(loaded, nowNanos, sink)) {
            return;
        }
        parts.configuration
                .inForce()
                .ifPresent(catalog -> parts.endpoints.setDrainedDomains(catalog.drainedDomains(), nowNanos, sink));
        lifecycle.configurationLoaded(sink);
        parts.dispatcher.markAllServicesChanged();
        parts.peers.reportNow(nowNanos, parts.reportSource, sink);
    }

    private void platformFailed(PlatformFailed failed, long nowNanos, ActionSink sink) {
        sink.emit(Note.of(
                NoteEvent.PLATFORM_READ_FAILED, Step.PLATFORM, failed.part().name(), "detail", failed.detail()));
        if (failed.part() == PlatformPart.CONFIGURATION_ROW) {
            parts.configuration.rowFailed(nowNanos, sink);
        }
    }
}
