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

    static ImmutableList<Step> parse(Words words) throws ScenarioSyntaxException {
        long nanos = words.takeNanos();
        if (words.takeIf("stream")) {
            return stream(nanos, words);
        }
        return ImmutableList.of(new Step(nanos, effect(words)));
    }

    private static Consumer<ScenarioRun> effect(Words words) throws ScenarioSyntaxException {
        String verb = words.take();
        return switch (verb) {
            case "submit" -> submission(words.take(), words);
            case "cancel" -> cancel(words.take(), CancelCause.CALLER);
            case "hang-up" -> cancel(words.take(), CancelCause.HANG_UP);
            case "cut" -> cut(words);
            case "heal" -> heal(words);
            case "platform" -> platform(words);
            case "accept" -> accept(words);
            case "unlist" -> unlist(words.take());
            case "fault" -> fault(words.take(), words.takeConstant(EndpointFault.class));
            case "start", "kill", "restart", "drain", "freeze" -> onOne(verb, words);
            default -> throw words.wrong("'" + verb + "' is nothing that happens");
        };
    }

    private static Consumer<ScenarioRun> submission(String name, Words words) throws ScenarioSyntaxException {
        SubmissionForm form = words.takeConstant(SubmissionForm.class);
        int tasks = words.takeIf("tasks") ? words.takeNumber() : 1;
        long runNanos = words.takeNanosAfter("runtime").orElse(DEFAULT_RUN_NANOS);
        KindName kind = words.takeIf("kind") ? KindName.of(words.take()) : SampleCatalog.ONCE;
        Optional<String> key = words.takeIf("key") ? Optional.of(words.take()) : Optional.empty();
        Optional<Duration> allowed = words.takeNanosAfter("allowed").map(Duration::ofNanos);
        words.takeOnly("to");
        String target = words.take();
        return run -> run.balance(target)
                .flatMap(node -> run.world().submit(node, form, kind, key, tasks, runNanos, allowed))
                .ifPresent(sent -> run.sent(name, sent));
    }

    /** Reads {@code stream NAME every TIME for TIME} and a submission, which is sent again and again. */
    private static ImmutableList<Step> stream(long fromNanos, Words words) throws ScenarioSyntaxException {
        String name = words.take();
        words.takeOnly("every");
        long every = words.takeNanos();
        words.takeOnly("for");
        long untilNanos = fromNanos + words.takeNanos();
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

    private static Consumer<ScenarioRun> cut(Words words) throws ScenarioSyntaxException {
        String one = words.take();
        boolean oneWay = words.takeIf("to");
        String other = words.take();
        return run -> run.forEachPair(one, other, (first, second) -> {
            if (oneWay) {
                run.world().network().cut(first, second);
            } else {
                run.world().network().cutBoth(first, second);
            }
        });
    }

    private static Consumer<ScenarioRun> heal(Words words) throws ScenarioSyntaxException {
        if (words.takeIf("all")) {
            return run -> run.world().network().healAll();
        }
        String one = words.take();
        String other = words.take();
        return run -> run.forEachPair(
                one, other, (first, second) -> run.world().network().heal(first, second));
    }

    private static Consumer<ScenarioRun> platform(Words words) throws ScenarioSyntaxException {
        String what = words.take();
        switch (what) {
            case "out":
                return run -> run.world().platform().out(true);
            case "back":
                return run -> run.world().platform().out(false);
            case "loses-replies":
                double lost = words.takeShare();
                return run -> run.world().platform().replyLostShare(lost);
            case "reads-stale":
                double stale = words.takeShare();
                return run -> run.world().platform().staleReadShare(stale);
            case "list-lags":
                long lag = words.takeNanos();
                return run -> run.world().platform().listLag(lag);
            default:
                throw words.wrong("'" + what + "' is nothing that the platform does");
        }
    }

    private static Consumer<ScenarioRun> accept(Words words) throws ScenarioSyntaxException {
        words.takeOnly("configuration");
        return run -> run.world().acceptConfiguration();
    }

    private static Consumer<ScenarioRun> unlist(String name) {
        return run -> run.world().platform().unlist(name);
    }

    private static Consumer<ScenarioRun> fault(String endpoint, EndpointFault fault) {
        return run -> run.world().endpoint(endpoint).fault(fault);
    }

    private static Consumer<ScenarioRun> onOne(String verb, Words words) throws ScenarioSyntaxException {
        boolean endpoint = words.takeIf("endpoint");
        if (!endpoint) {
            words.takeOnly("node");
        }
        String name = words.take();
        if (verb.equals("freeze")) {
            words.takeOnly("for");
            long nanos = words.takeNanos();
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
