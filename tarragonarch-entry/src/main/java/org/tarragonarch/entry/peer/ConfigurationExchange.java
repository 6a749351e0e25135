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

/** Loads configurations from peers, and gives peers the one in force. Safe for use by several threads. */
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

    /** Notes that a peer is asked for a configuration; an earlier question to it fails. */
    void recordQuestion(NodeId peer, LoadConfiguration wanted) {
        questions
                .add(peer, wanted, System.nanoTime())
                .ifPresent(earlier -> postFailure(earlier, "another version was asked for meanwhile"));
    }

    /** Fails the question to a peer, if it is open. */
    void failQuestion(NodeId peer, String detail) {
        questions.remove(peer).ifPresent(wanted -> postFailure(wanted, detail));
    }

    /** Fails the questions that were put before a time. */
    void expire(long askedBeforeNanos) {
        questions
                .removeAskedBefore(askedBeforeNanos)
                .forEach(wanted -> postFailure(wanted, "the peer gave no answer in time"));
    }

    /** Reads a peer's answer on the executor, if the question to it is open. */
    void loadAnswer(NodeId peer, ConfigurationGiven given, Executor executor) {
        questions.remove(peer).ifPresent(wanted -> executor.execute(() -> load(peer, wanted, given)));
    }

    /** Returns the answer to a peer's question. */
    ConfigurationGiven answer(ConfigurationAsked question) {
        Optional<ServiceCatalog> now =
                catalog.catalog().filter(known -> !question.version().newerThan(known.version()));
        return now.flatMap(known -> texts.find(known)
                        .map(text -> ConfigurationGiven.of(known.version(), known.digest(), Payload.of(text))))
                .orElseGet(() -> ConfigurationGiven.none(question.version()));
    }

    private void load(NodeId peer, LoadConfiguration wanted, ConfigurationGiven given) {
        if (given.canonicalText().isEmpty()) {
            postFailure(wanted, "the peer has no such version");
            return;
        }
        boolean same = given.version().equals(wanted.version());
        Optional<ContentDigest> due = same && wanted.digest().isPresent() ? wanted.digest() : given.digest();
        byte[] text = given.canonicalText().get().bytes();
        events.post(loader.load(given.version(), due, text, peer.toString()));
    }

    private void postFailure(LoadConfiguration wanted, String detail) {
        String peer = wanted.peer().map(NodeId::toString).orElse("");
        events.post(loader.failed(wanted.version(), peer, detail));
    }
}
