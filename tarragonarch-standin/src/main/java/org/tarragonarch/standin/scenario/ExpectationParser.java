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

    static Expectation parse(String text, Words words) throws ScenarioSyntaxException {
        Optional<Long> at = words.takeNanosAfter("at");
        return new Expectation(text, at, check(words));
    }

    private static Expectation.Check check(Words words) throws ScenarioSyntaxException {
        if (words.takeIf("no")) {
            return nothing(words);
        } else if (words.takeIf("configuration")) {
            return configuration(words);
        } else if (words.takeIf("phase")) {
            return phase(words);
        } else if (words.takeIf("noted")) {
            return noted(words);
        } else if (words.takeIf("peers")) {
            return peers(words);
        }
        return outcome(words);
    }

    /** Reads {@code no start on ENDPOINT after TIME}, or a promise, which is checked at every step anyway. */
    private static Expectation.Check nothing(Words words) throws ScenarioSyntaxException {
        if (words.takeIf("start")) {
            return noStart(words);
        }
        for (String word : ALWAYS.substring("no ".length()).split(" ")) {
            words.takeOnly(word);
        }
        return run -> Optional.empty();
    }

    private static Expectation.Check noStart(Words words) throws ScenarioSyntaxException {
        words.takeOnly("on");
        String name = words.take();
        long after = words.takeNanosAfter("after").orElse(0L);
        Optional<Long> before = words.takeNanosAfter("before");
        return run -> run.starts(name).stream()
                .filter(start -> start.nanos() > after && start.nanos() < before.orElse(Long.MAX_VALUE))
                .findFirst()
                .map(start -> start.task() + " started on " + start.endpoint() + " at " + millis(start.nanos()));
    }

    private static Expectation.Check configuration(Words words) throws ScenarioSyntaxException {
        ConfigurationVersion version = ConfigurationVersion.of(words.takeNumber());
        words.takeOnly("on");
        String name = words.take();
        return run -> first(run.nodes(name), node -> {
            ConfigurationVersion found = node.configuration();
            return found.equals(version) ? Optional.empty() : Optional.of("has " + found);
        });
    }

    private static Expectation.Check phase(Words words) throws ScenarioSyntaxException {
        NodePhase phase = words.takeConstant(NodePhase.class);
        words.takeOnly("on");
        String name = words.take();
        return run -> first(
                run.nodes(name), node -> node.phase() == phase ? Optional.empty() : Optional.of("is " + node.phase()));
    }

    /** Reads {@code noted EVENT [at least] COUNT on NODES}. */
    private static Expectation.Check noted(Words words) throws ScenarioSyntaxException {
        NoteEvent event = words.takeConstant(NoteEvent.class);
        boolean least = words.takeIf("at-least");
        int count = words.takeNumber();
        words.takeOnly("on");
        String name = words.take();
        return run -> first(run.nodes(name), node -> {
            int found = node.noted(event);
            boolean right = least ? found >= count : found == count;
            return right ? Optional.empty() : Optional.of("noted it " + found + " times");
        });
    }

    /** Reads {@code peers COUNT alive on NODES}. */
    private static Expectation.Check peers(Words words) throws ScenarioSyntaxException {
        int count = words.takeNumber();
        words.takeOnly("alive");
        words.takeOnly("on");
        String name = words.take();
        return run -> first(run.nodes(name), node -> {
            int found = node.peersAlive();
            return found == count ? Optional.empty() : Optional.of("sees " + found);
        });
    }

    /** Reads {@code [all] NAME OUTCOME [with CODE] [before TIME] [sent-after TIME] [sent-before TIME]}. */
    private static Expectation.Check outcome(Words words) throws ScenarioSyntaxException {
        words.takeIf("all");
        String name = words.take();
        String outcome = words.take();
        if (!OUTCOMES.contains(outcome)) {
            throw words.wrong("'" + outcome + "' is no outcome");
        }
        Optional<String> code = words.takeIf("with") ? Optional.of(words.take()) : Optional.empty();
        Optional<Long> before = words.takeNanosAfter("before");
        long sentAfter = words.takeNanosAfter("sent-after").orElse(0L);
        long sentBefore = words.takeNanosAfter("sent-before").orElse(Long.MAX_VALUE);
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

    private static Optional<String> first(Iterable<Observed.ObservedNode> nodes, NodeCheck check) {
        for (Observed.ObservedNode node : nodes) {
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
        Optional<String> wrong(Observed.ObservedNode node);
    }
}
