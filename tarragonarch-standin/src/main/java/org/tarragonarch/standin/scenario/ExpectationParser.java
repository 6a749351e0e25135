package org.tarragonarch.standin.scenario;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.report.NodePhase;

/** Reads what stands behind {@code expect}. */
final class ExpectationParser {
    private static final ImmutableSet<String> OUTCOMES =
            ImmutableSet.of("complete", "failed", "not-run", "unknown", "none");
    private static final String ALWAYS = "no task starts twice";

    private ExpectationParser() {}

    static Expectation parse(String text, LineTokens words) throws ScenarioSyntaxException {
        Optional<Long> at = words.nextNanosAfter("at");
        return new Expectation(text, at, check(words));
    }

    private static Expectation.Check check(LineTokens words) throws ScenarioSyntaxException {
        if (words.skipIf("no")) {
            return nothing(words);
        } else if (words.skipIf("configuration")) {
            return configuration(words);
        } else if (words.skipIf("phase")) {
            return phase(words);
        } else if (words.skipIf("noted")) {
            return noted(words);
        } else if (words.skipIf("peers")) {
            return peers(words);
        }
        return outcome(words);
    }

    /** Reads {@code no start on ENDPOINT after TIME}, or a promise, which is checked at every step anyway. */
    private static Expectation.Check nothing(LineTokens words) throws ScenarioSyntaxException {
        if (words.skipIf("start")) {
            return noStart(words);
        }
        for (String word : ALWAYS.substring("no ".length()).split(" ")) {
            words.skipRequired(word);
        }
        return run -> Optional.empty();
    }

    private static Expectation.Check noStart(LineTokens words) throws ScenarioSyntaxException {
        words.skipRequired("on");
        String name = words.nextWord();
        long after = words.nextNanosAfter("after").orElse(0L);
        Optional<Long> before = words.nextNanosAfter("before");
        return run -> run.starts(name).stream()
                .filter(start -> start.nanos() > after && start.nanos() < before.orElse(Long.MAX_VALUE))
                .findFirst()
                .map(start -> start.task() + " started on " + start.endpoint() + " at " + millis(start.nanos()));
    }

    private static Expectation.Check configuration(LineTokens words) throws ScenarioSyntaxException {
        ConfigurationVersion version = ConfigurationVersion.of(words.nextInt());
        words.skipRequired("on");
        String name = words.nextWord();
        return run -> first(run.nodes(name), node -> {
            ConfigurationVersion found = node.configuration();
            return found.equals(version) ? Optional.empty() : Optional.of("has " + found);
        });
    }

    private static Expectation.Check phase(LineTokens words) throws ScenarioSyntaxException {
        NodePhase phase = words.nextConstant(NodePhase.class);
        words.skipRequired("on");
        String name = words.nextWord();
        return run -> first(
                run.nodes(name), node -> node.phase() == phase ? Optional.empty() : Optional.of("is " + node.phase()));
    }

    /** Reads {@code noted EVENT [at least] COUNT on NODES}. */
    private static Expectation.Check noted(LineTokens words) throws ScenarioSyntaxException {
        NoteEvent event = words.nextConstant(NoteEvent.class);
        boolean least = words.skipIf("at-least");
        int count = words.nextInt();
        words.skipRequired("on");
        String name = words.nextWord();
        return run -> first(run.nodes(name), node -> {
            int found = node.noteCount(event);
            boolean right = least ? found >= count : found == count;
            return right ? Optional.empty() : Optional.of("noted it " + found + " times");
        });
    }

    /** Reads {@code peers COUNT alive on NODES}. */
    private static Expectation.Check peers(LineTokens words) throws ScenarioSyntaxException {
        int count = words.nextInt();
        words.skipRequired("alive");
        words.skipRequired("on");
        String name = words.nextWord();
        return run -> first(run.nodes(name), node -> {
            int found = node.livePeerCount();
            return found == count ? Optional.empty() : Optional.of("sees " + found);
        });
    }

    /** Reads {@code [all] NAME OUTCOME [with CODE] [before TIME] [sent-after TIME] [sent-before TIME]}. */
    private static Expectation.Check outcome(LineTokens words) throws ScenarioSyntaxException {
        words.skipIf("all");
        String name = words.nextWord();
        String outcome = words.nextWord();
        if (!OUTCOMES.contains(outcome)) {
            throw words.syntaxError("'" + outcome + "' is no outcome");
        }
        Optional<String> code = words.skipIf("with") ? Optional.of(words.nextWord()) : Optional.empty();
        Optional<Long> before = words.nextNanosAfter("before");
        long sentAfter = words.nextNanosAfter("sent-after").orElse(0L);
        long sentBefore = words.nextNanosAfter("sent-before").orElse(Long.MAX_VALUE);
        return run -> {
            ImmutableList<ObservedSubmission> named = run.submissions(name);
            if (named.isEmpty()) {
                return Optional.of("was not sent");
            }
            return named.stream()
                    .filter(sent -> sent.sentNanos() >= sentAfter && sent.sentNanos() < sentBefore)
                    .flatMap(sent -> wrong(sent, outcome, code, before).stream())
                    .findFirst();
        };
    }

    private static Optional<String> wrong(
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

    private static Optional<String> first(Iterable<ObservedRun.ObservedNode> nodes, NodeCheck check) {
        for (ObservedRun.ObservedNode node : nodes) {
            Optional<String> wrong = check.wrong(node);
            if (wrong.isPresent()) {
                return Optional.of(node.name() + " " + wrong.get());
            }
        }
        return Optional.empty();
    }

    /** Checks one node. */
    @FunctionalInterface
    private interface NodeCheck {
        Optional<String> wrong(ObservedRun.ObservedNode node);
    }
}
