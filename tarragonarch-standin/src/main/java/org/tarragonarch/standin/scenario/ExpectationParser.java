package org.tarragonarch.standin.scenario;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.report.NodePhase;

/** Parses the part of a line that follows {@code expect}. */
final class ExpectationParser {
    private static final ImmutableSet<String> OUTCOMES =
            ImmutableSet.of("complete", "failed", "not-run", "unknown", "none");
    private static final String PROMISE = "no task starts twice";

    private ExpectationParser() {}

    static Expectation parse(String text, LineTokens tokens) throws ScenarioSyntaxException {
        Optional<Long> at = tokens.nextNanosAfter("at");
        return new Expectation(text, at, check(tokens));
    }

    private static Expectation.Check check(LineTokens tokens) throws ScenarioSyntaxException {
        if (tokens.skipIf("no")) {
            return negative(tokens);
        } else if (tokens.skipIf("configuration")) {
            return configuration(tokens);
        } else if (tokens.skipIf("phase")) {
            return phase(tokens);
        } else if (tokens.skipIf("noted")) {
            return noted(tokens);
        } else if (tokens.skipIf("peers")) {
            return peers(tokens);
        }
        return outcome(tokens);
    }

    /** Parses {@code no start on ENDPOINT after TIME}, or a promise that the world checks at every step anyway. */
    private static Expectation.Check negative(LineTokens tokens) throws ScenarioSyntaxException {
        if (tokens.skipIf("start")) {
            return noStart(tokens);
        }
        for (String word : PROMISE.substring("no ".length()).split(" ")) {
            tokens.skipRequired(word);
        }
        return run -> Optional.empty();
    }

    private static Expectation.Check noStart(LineTokens tokens) throws ScenarioSyntaxException {
        tokens.skipRequired("on");
        String name = tokens.nextWord();
        long after = tokens.nextNanosAfter("after").orElse(0L);
        Optional<Long> before = tokens.nextNanosAfter("before");
        return run -> run.starts(name).stream()
                .filter(start -> start.nanos() > after && start.nanos() < before.orElse(Long.MAX_VALUE))
                .findFirst()
                .map(start -> start.task() + " started on " + start.endpoint() + " at " + millis(start.nanos()));
    }

    private static Expectation.Check configuration(LineTokens tokens) throws ScenarioSyntaxException {
        ConfigurationVersion version = ConfigurationVersion.of(tokens.nextInt());
        tokens.skipRequired("on");
        String name = tokens.nextWord();
        return run -> firstFailure(run.nodes(name), node -> {
            ConfigurationVersion found = node.configuration();
            return found.equals(version) ? Optional.empty() : Optional.of("has configuration " + found);
        });
    }

    private static Expectation.Check phase(LineTokens tokens) throws ScenarioSyntaxException {
        NodePhase phase = tokens.nextConstant(NodePhase.class);
        tokens.skipRequired("on");
        String name = tokens.nextWord();
        return run -> firstFailure(
                run.nodes(name),
                node -> node.phase() == phase ? Optional.empty() : Optional.of("is in phase " + node.phase()));
    }

    /** Parses {@code noted EVENT [at least] COUNT on NODES}. */
    private static Expectation.Check noted(LineTokens tokens) throws ScenarioSyntaxException {
        NoteEvent event = tokens.nextConstant(NoteEvent.class);
        boolean atLeast = tokens.skipIf("at-least");
        int count = tokens.nextInt();
        tokens.skipRequired("on");
        String name = tokens.nextWord();
        return run -> firstFailure(run.nodes(name), node -> {
            int found = node.noteCount(event);
            boolean holds = atLeast ? found >= count : found == count;
            return holds ? Optional.empty() : Optional.of("noted the event " + found + " times");
        });
    }

    /** Parses {@code peers COUNT alive on NODES}. */
    private static Expectation.Check peers(LineTokens tokens) throws ScenarioSyntaxException {
        int count = tokens.nextInt();
        tokens.skipRequired("alive");
        tokens.skipRequired("on");
        String name = tokens.nextWord();
        return run -> firstFailure(run.nodes(name), node -> {
            int found = node.livePeerCount();
            return found == count ? Optional.empty() : Optional.of("has " + found + " live peers");
        });
    }

    /** Parses {@code [all] NAME OUTCOME [with CODE] [before TIME] [sent-after TIME] [sent-before TIME]}. */
    private static Expectation.Check outcome(LineTokens tokens) throws ScenarioSyntaxException {
        tokens.skipIf("all");
        String name = tokens.nextWord();
        String outcome = tokens.nextWord();
        if (!OUTCOMES.contains(outcome)) {
            throw tokens.syntaxError("'" + outcome + "' is not an outcome");
        }
        Optional<String> code = tokens.skipIf("with") ? Optional.of(tokens.nextWord()) : Optional.empty();
        Optional<Long> before = tokens.nextNanosAfter("before");
        long sentAfter = tokens.nextNanosAfter("sent-after").orElse(0L);
        long sentBefore = tokens.nextNanosAfter("sent-before").orElse(Long.MAX_VALUE);
        return run -> {
            ImmutableList<ObservedSubmission> named = run.submissions(name);
            if (named.isEmpty()) {
                return Optional.of("was not sent");
            }
            return named.stream()
                    .filter(sent -> sent.sentNanos() >= sentAfter && sent.sentNanos() < sentBefore)
                    .flatMap(sent -> mismatch(sent, outcome, code, before).stream())
                    .findFirst();
        };
    }

    private static Optional<String> mismatch(
            ObservedSubmission sent, String outcome, Optional<String> code, Optional<Long> before) {
        if (!sent.outcome().equals(outcome) || !sent.code().equals(code.orElse(sent.code()))) {
            return Optional.of(sent.toString());
        }
        return sent.answeredNanos() >= before.orElse(Long.MAX_VALUE)
                ? Optional.of(sent + " only at " + millis(sent.answeredNanos()))
                : Optional.empty();
    }

    private static String millis(long nanos) {
        return nanos / 1_000_000 + "ms";
    }

    private static Optional<String> firstFailure(Iterable<ObservedRun.ObservedNode> nodes, NodeCheck check) {
        for (ObservedRun.ObservedNode node : nodes) {
            Optional<String> failure = check.failure(node);
            if (failure.isPresent()) {
                return Optional.of(node.name() + " " + failure.get());
            }
        }
        return Optional.empty();
    }

    /** A check of one node. */
    @FunctionalInterface
    private interface NodeCheck {
        Optional<String> failure(ObservedRun.ObservedNode node);
    }
}
