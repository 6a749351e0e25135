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

/** Reads what stands behind {@code at TIME}. */
final class StepParser {
    private static final long DEFAULT_RUN_NANOS = Duration.ofMillis(200).toNanos();

    private StepParser() {}

    static ImmutableList<Step> parse(LineTokens words) throws ScenarioSyntaxException {
        long nanos = words.nextNanos();
        if (words.skipIf("stream")) {
            return stream(nanos, words);
        }
        return ImmutableList.of(new Step(nanos, effect(words)));
    }

    private static Consumer<ScenarioRun> effect(LineTokens words) throws ScenarioSyntaxException {
        String verb = words.nextWord();
        return switch (verb) {
            case "submit" -> submission(words.nextWord(), words);
            case "cancel" -> cancel(words.nextWord(), CancelCause.CALLER);
            case "hang-up" -> cancel(words.nextWord(), CancelCause.HANG_UP);
            case "cut" -> cut(words);
            case "heal" -> heal(words);
            case "platform" -> platform(words);
            case "accept" -> accept(words);
            case "unlist" -> unlist(words.nextWord());
            case "fault" -> fault(words.nextWord(), words.nextConstant(EndpointFault.class));
            case "start", "kill", "restart", "drain", "freeze" -> onOne(verb, words);
            default -> throw words.syntaxError("'" + verb + "' is nothing that happens");
        };
    }

    private static Consumer<ScenarioRun> submission(String name, LineTokens words) throws ScenarioSyntaxException {
        SubmissionForm form = words.nextConstant(SubmissionForm.class);
        int tasks = words.skipIf("tasks") ? words.nextInt() : 1;
        long runNanos = words.nextNanosAfter("runtime").orElse(DEFAULT_RUN_NANOS);
        KindName kind = words.skipIf("kind") ? KindName.of(words.nextWord()) : SampleCatalog.NON_IDEMPOTENT;
        Optional<String> key = words.skipIf("key") ? Optional.of(words.nextWord()) : Optional.empty();
        Optional<Duration> allowed = words.nextNanosAfter("allowed").map(Duration::ofNanos);
        words.skipRequired("to");
        String target = words.nextWord();
        return run -> run.selectNode(target)
                .flatMap(node -> run.world().submit(node, form, kind, key, tasks, runNanos, allowed))
                .ifPresent(sent -> run.sent(name, sent));
    }

    /** Reads {@code stream NAME every TIME for TIME} and a submission, which is sent again and again. */
    private static ImmutableList<Step> stream(long fromNanos, LineTokens words) throws ScenarioSyntaxException {
        String name = words.nextWord();
        words.skipRequired("every");
        long every = words.nextNanos();
        words.skipRequired("for");
        long untilNanos = fromNanos + words.nextNanos();
        Consumer<ScenarioRun> submission = submission(name, words);
        ImmutableList.Builder<Step> steps = ImmutableList.builder();
        for (long nanos = fromNanos; nanos < untilNanos; nanos += every) {
            steps.add(new Step(nanos, submission));
        }
        return steps.build();
    }

    private static Consumer<ScenarioRun> cancel(String name, CancelCause cause) {
        return run -> run.sent(name).forEach(sent -> run.world().cancel(sent, cause));
    }

    private static Consumer<ScenarioRun> cut(LineTokens words) throws ScenarioSyntaxException {
        String one = words.nextWord();
        boolean oneWay = words.skipIf("to");
        String other = words.nextWord();
        return run -> run.forEachPair(one, other, (first, second) -> {
            if (oneWay) {
                run.world().network().cut(first, second);
            } else {
                run.world().network().cutBoth(first, second);
            }
        });
    }

    private static Consumer<ScenarioRun> heal(LineTokens words) throws ScenarioSyntaxException {
        if (words.skipIf("all")) {
            return run -> run.world().network().healAll();
        }
        String one = words.nextWord();
        String other = words.nextWord();
        return run -> run.forEachPair(
                one, other, (first, second) -> run.world().network().heal(first, second));
    }

    private static Consumer<ScenarioRun> platform(LineTokens words) throws ScenarioSyntaxException {
        String what = words.nextWord();
        switch (what) {
            case "out":
                return run -> run.world().platform().setOut(true);
            case "back":
                return run -> run.world().platform().setOut(false);
            case "loses-replies":
                double lost = words.nextShare();
                return run -> run.world().platform().setReplyLostShare(lost);
            case "reads-stale":
                double stale = words.nextShare();
                return run -> run.world().platform().setStaleReadShare(stale);
            case "list-lags":
                long lag = words.nextNanos();
                return run -> run.world().platform().setListLag(lag);
            default:
                throw words.syntaxError("'" + what + "' is nothing that the platform does");
        }
    }

    private static Consumer<ScenarioRun> accept(LineTokens words) throws ScenarioSyntaxException {
        words.skipRequired("configuration");
        return run -> run.world().acceptConfiguration();
    }

    private static Consumer<ScenarioRun> unlist(String name) {
        return run -> run.world().platform().unlistVm(name);
    }

    private static Consumer<ScenarioRun> fault(String endpoint, EndpointFault fault) {
        return run -> run.world().endpoint(endpoint).setFault(fault);
    }

    private static Consumer<ScenarioRun> onOne(String verb, LineTokens words) throws ScenarioSyntaxException {
        boolean endpoint = words.skipIf("endpoint");
        if (!endpoint) {
            words.skipRequired("node");
        }
        String name = words.nextWord();
        if (verb.equals("freeze")) {
            words.skipRequired("for");
            long nanos = words.nextNanos();
            return run -> run.world().freezeNode(name, nanos);
        }
        if (verb.equals("start")) {
            return run -> run.startNode(name);
        }
        return run -> {
            if (endpoint) {
                onEndpoint(verb, name, run.world());
            } else {
                onNode(verb, name, run.world());
            }
        };
    }

    private static void onEndpoint(String verb, String name, World world) {
        switch (verb) {
            case "kill" -> world.endpoint(name).kill();
            case "drain" -> world.drainEndpoint(name);
            default -> world.restartEndpoint(name);
        }
    }

    private static void onNode(String verb, String name, World world) {
        switch (verb) {
            case "kill" -> world.killNode(name);
            case "drain" -> world.drainNode(name);
            default -> world.restartNode(name);
        }
    }
}
