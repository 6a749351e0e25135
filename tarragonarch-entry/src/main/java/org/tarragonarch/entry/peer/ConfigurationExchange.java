package org.tarragonarch.entry.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.concurrent.Executor;
import org.tarragonarch.core.action.LoadConfiguration;
import org.tarragonarch.entry.catalog.CatalogInForce;
import org.tarragonarch.entry.catalog.ConfigurationTexts;
import org.tarragonarch.entry.control.EventSink;
import org.tarragonarch.entry.platform.ConfigurationLoader;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.service.ServiceCatalog;
import org.tarragonarch.wire.ConfigurationAsked;
import org.tarragonarch.wire.ConfigurationGiven;
import org.tarragonarch.wire.Payload;

/** Loads configurations from peers and sends peers the configuration in force. Thread-safe. */
final class ConfigurationExchange {
    private final CatalogInForce catalog;
    private final ConfigurationTexts texts;
    private final ConfigurationLoader loader;
    private final EventSink events;
    private final ConfigurationQuestions questions = new ConfigurationQuestions();

    ConfigurationExchange(
            CatalogInForce catalog, ConfigurationTexts texts, ConfigurationLoader loader, EventSink events) {
        this.catalog = checkNotNull(catalog, "catalog");
        this.texts = checkNotNull(texts, "texts");
        this.loader = checkNotNull(loader, "loader");
        this.events = checkNotNull(events, "events");
    }

    /** Records a question to a peer; an earlier open question to the same peer fails. */
    void recordQuestion(NodeId peer, LoadConfiguration wanted) {
        questions
                .add(peer, wanted, System.nanoTime())
                .ifPresent(earlier -> postFailure(earlier, "replaced by a question for another version"));
    }

    /** Fails the open question to a peer, if there is one. */
    void failQuestion(NodeId peer, String detail) {
        questions.remove(peer).ifPresent(wanted -> postFailure(wanted, detail));
    }

    /** Fails the questions that were asked before a time of {@link System#nanoTime}. */
    void expire(long askedBeforeNanos) {
        questions
                .removeAskedBefore(askedBeforeNanos)
                .forEach(wanted -> postFailure(wanted, "the peer did not answer in time"));
    }

    /** Loads the answer of a peer on the executor, if a question to the peer is open. */
    void loadAnswer(NodeId peer, ConfigurationGiven given, Executor executor) {
        questions.remove(peer).ifPresent(wanted -> executor.execute(() -> load(peer, wanted, given)));
    }

    /** Returns the answer to a question of a peer. */
    ConfigurationGiven answer(ConfigurationAsked question) {
        Optional<ServiceCatalog> current =
                catalog.catalog().filter(known -> !question.version().isNewerThan(known.version()));
        return current.flatMap(known -> texts.find(known)
                        .map(text -> ConfigurationGiven.of(known.version(), known.digest(), Payload.of(text))))
                .orElseGet(() -> ConfigurationGiven.unavailable(question.version()));
    }

    private void load(NodeId peer, LoadConfiguration wanted, ConfigurationGiven given) {
        if (given.canonicalText().isEmpty()) {
            postFailure(wanted, "the peer does not have this version");
            return;
        }
        boolean same = given.version().equals(wanted.version());
        Optional<ContentDigest> expected = same && wanted.digest().isPresent() ? wanted.digest() : given.digest();
        byte[] text = given.canonicalText().get().bytes();
        events.post(loader.load(given.version(), expected, text, peer.toString()));
    }

    private void postFailure(LoadConfiguration wanted, String detail) {
        String peer = wanted.peer().map(NodeId::toString).orElse("");
        events.post(loader.loadFailed(wanted.version(), peer, detail));
    }
}
