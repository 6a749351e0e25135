package org.tarragonarch.standin.scenario;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.tarragonarch.core.event.CancelCause;
import org.tarragonarch.core.event.SubmissionForm;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.standin.explore.EndpointFault;
import org.tarragonarch.standin.explore.SampleCatalog;
import org.tarragonarch.standin.explore.World;

/** Parses the part of a line that follows {@code at}. */
final class StepParser {
    private static final long DEFAULT_RUN_NANOS = Duration.ofMillis(200).toNanos();

    private StepParser() {}

    static ImmutableList<Step> parse(LineTokens tokens) throws ScenarioSyntaxException {
        long nanos = tokens.nextNanos();
        if (tokens.skipIf("stream")) {
            return stream(nanos, tokens);
        }
        return ImmutableList.of(new Step(nanos, effect(tokens)));
    }

    private static Consumer<ScenarioRun> effect(LineTokens tokens) throws ScenarioSyntaxException {
        String verb = tokens.nextWord();
        return switch (verb) {
            case "submit" -> submission(tokens.nextWord(), tokens);
            case "cancel" -> cancel(tokens.nextWord(), CancelCause.CALLER);
            case "hang-up" -> cancel(tokens.nextWord(), CancelCause.HANG_UP);
            case "cut" -> cut(tokens);
            case "heal" -> heal(tokens);
            case "platform" -> platform(tokens);
            case "accept" -> accept(tokens);
            case "unlist" -> unlist(tokens.nextWord());
            case "fault" -> fault(tokens.nextWord(), tokens.nextConstant(EndpointFault.class));
            case "start", "kill", "restart", "drain", "freeze" -> nodeOrEndpoint(verb, tokens);
            default -> throw tokens.syntaxError("'" + verb + "' is not a verb");
        };
    }

    private static Consumer<ScenarioRun> submission(String name, LineTokens tokens) throws ScenarioSyntaxException {
        SubmissionForm form = tokens.nextConstant(SubmissionForm.class);
        int tasks = tokens.skipIf("tasks") ? tokens.nextInt() : 1;
        long runNanos = tokens.nextNanosAfter("runtime").orElse(DEFAULT_RUN_NANOS);
        KindName kind = tokens.skipIf("kind") ? KindName.of(tokens.nextWord()) : SampleCatalog.NON_IDEMPOTENT;
        Optional<String> key = tokens.skipIf("key") ? Optional.of(tokens.nextWord()) : Optional.empty();
        Optional<Duration> allowed = tokens.nextNanosAfter("allowed").map(Duration::ofNanos);
        tokens.skipRequired("to");
        String target = tokens.nextWord();
        return run -> run.selectNode(target)
                .flatMap(node -> run.world().submit(node, form, kind, key, tasks, runNanos, allowed))
                .ifPresent(sent -> run.sent(name, sent));
    }

    /** Parses {@code stream NAME every TIME for TIME} and a submission, which is repeated at that interval. */
    private static ImmutableList<Step> stream(long fromNanos, LineTokens tokens) throws ScenarioSyntaxException {
        String name = tokens.nextWord();
        tokens.skipRequired("every");
        long intervalNanos = tokens.nextNanos();
        tokens.skipRequired("for");
        long untilNanos = fromNanos + tokens.nextNanos();
        Consumer<ScenarioRun> submission = submission(name, tokens);
        ImmutableList.Builder<Step> steps = ImmutableList.builder();
        for (long nanos = fromNanos; nanos < untilNanos; nanos += intervalNanos) {
            steps.add(new Step(nanos, submission));
        }
        return steps.build();
    }

    private static Consumer<ScenarioRun> cancel(String name, CancelCause cause) {
        return run -> run.sent(name).forEach(sent -> run.world().cancel(sent, cause));
    }

    private static Consumer<ScenarioRun> cut(LineTokens tokens) throws ScenarioSyntaxException {
        String one = tokens.nextWord();
        boolean oneWay = tokens.skipIf("to");
        String other = tokens.nextWord();
        return run -> run.forEachPair(one, other, (first, second) -> {
            if (oneWay) {
                run.world().network().cut(first, second);
            } else {
                run.world().network().cutBoth(first, second);
            }
        });
    }

    private static Consumer<ScenarioRun> heal(LineTokens tokens) throws ScenarioSyntaxException {
        if (tokens.skipIf("all")) {
            return run -> run.world().network().healAll();
        }
        String one = tokens.nextWord();
        String other = tokens.nextWord();
        return run -> run.forEachPair(
                one, other, (first, second) -> run.world().network().heal(first, second));
    }

    private static Consumer<ScenarioRun> platform(LineTokens tokens) throws ScenarioSyntaxException {
        String what = tokens.nextWord();
        switch (what) {
            case "out":
                return run -> run.world().platform().setOut(true);
            case "back":
                return run -> run.world().platform().setOut(false);
            case "loses-replies":
                double lost = tokens.nextShare();
                return run -> run.world().platform().setReplyLostShare(lost);
            case "reads-stale":
                double stale = tokens.nextShare();
                return run -> run.world().platform().setStaleReadShare(stale);
            case "list-lags":
                long lag = tokens.nextNanos();
                return run -> run.world().platform().setListLag(lag);
            default:
                throw tokens.syntaxError("'" + what + "' is not an effect on the platform");
        }
    }

    private static Consumer<ScenarioRun> accept(LineTokens tokens) throws ScenarioSyntaxException {
        tokens.skipRequired("configuration");
        return run -> run.world().acceptConfiguration();
    }

    private static Consumer<ScenarioRun> unlist(String name) {
        return run -> run.world().platform().unlistVm(name);
    }

    private static Consumer<ScenarioRun> fault(String endpoint, EndpointFault fault) {
        return run -> run.world().endpoint(endpoint).setFault(fault);
    }

    private static Consumer<ScenarioRun> nodeOrEndpoint(String verb, LineTokens tokens) throws ScenarioSyntaxException {
        boolean endpoint = tokens.skipIf("endpoint");
        if (!endpoint) {
            tokens.skipRequired("node");
        }
        String name = tokens.nextWord();
        if (verb.equals("freeze")) {
            tokens.skipRequired("for");
            long nanos = tokens.nextNanos();
            return run -> run.world().freezeNode(name, nanos);
        }
        if (verb.equals("start")) {
            return run -> run.startNode(name);
        }
        return run -> {
            if (endpoint) {
                applyToEndpoint(verb, name, run.world());
            } else {
                applyToNode(verb, name, run.world());
            }
        };
    }

    private static void applyToEndpoint(String verb, String name, World world) {
        switch (verb) {
            case "kill" -> world.endpoint(name).kill();
            case "drain" -> world.drainEndpoint(name);
            default -> world.restartEndpoint(name);
        }
    }

    private static void applyToNode(String verb, String name, World world) {
        switch (verb) {
            case "kill" -> world.killNode(name);
            case "drain" -> world.drainNode(name);
            default -> world.restartNode(name);
        }
    }
}
