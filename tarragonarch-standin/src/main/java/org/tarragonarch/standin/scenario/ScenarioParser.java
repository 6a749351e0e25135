package org.tarragonarch.standin.scenario;

import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Reads scenarios: one statement a line; what stands behind {@code #} is a comment.
 *
 * <pre>
 * seed 7
 * nodes hobart 2, launceston 1
 * endpoints hobart 2 slots 8, launceston 1 slots 8
 * at 0ms    submit j1 job tasks 6 runtime 200ms to hobart-1
 * at 50ms   kill endpoint hobart-w1
 * at 80ms   cut hobart platform
 * expect    j1 unknown before 400ms
 * expect at 3s configuration 1 on all
 * </pre>
 *
 * <p>A scenario that opens with {@code trace FILE} replays what a node recorded; its submissions go by their ids, and
 * {@code every} stands for all of them.
 */
public final class ScenarioParser {
    private static final Splitter GROUPS = Splitter.on(',');
    private static final int DEFAULT_SLOTS = 8;

    private final ImmutableMap.Builder<String, Integer> nodes = ImmutableMap.builder();
    private final ImmutableMap.Builder<String, EndpointGroup> endpoints = ImmutableMap.builder();
    private final ImmutableList.Builder<Step> steps = ImmutableList.builder();
    private final ImmutableList.Builder<Expectation> expectations = ImmutableList.builder();
    private final Path folder;
    private Optional<Path> trace = Optional.empty();
    private long seed = 1;

    private ScenarioParser(Path folder) {
        this.folder = folder;
    }

    /**
     * Reads a scenario.
     *
     * @param folder the folder against which the file of a trace is taken
     * @throws ScenarioSyntaxException if a line is no statement; names the line
     */
    public static Scenario parse(String text, Path folder) throws ScenarioSyntaxException {
        ScenarioParser parser = new ScenarioParser(folder);
        int number = 0;
        for (String line : Splitter.on('\n').split(text)) {
            number++;
            int comment = line.indexOf('#');
            parser.line(number, comment < 0 ? line : line.substring(0, comment));
        }
        return new Scenario(
                parser.trace,
                parser.seed,
                parser.nodes.buildOrThrow(),
                parser.endpoints.buildOrThrow(),
                parser.steps.build(),
                parser.expectations.build());
    }

    private void line(int number, String text) throws ScenarioSyntaxException {
        LineTokens words = new LineTokens(number, text);
        if (words.isEmpty()) {
            return;
        }
        String statement = words.nextWord();
        switch (statement) {
            case "trace" -> trace = Optional.of(folder.resolve(words.nextWord()));
            case "seed" -> seed = words.nextInt();
            case "nodes" -> nodeGroups(number, text);
            case "endpoints" -> endpointGroups(number, text);
            case "at" -> {
                steps.addAll(StepParser.parse(words));
                words.checkEnd();
            }
            case "expect" -> {
                String shown =
                        "line " + number + ": " + CharMatcher.whitespace().trimAndCollapseFrom(text, ' ');
                expectations.add(ExpectationParser.parse(shown, words));
                words.checkEnd();
            }
            default -> throw words.syntaxError("'" + statement + "' opens no statement");
        }
    }

    private void nodeGroups(int number, String text) throws ScenarioSyntaxException {
        for (LineTokens words : groups(number, text, "nodes")) {
            nodes.put(words.nextWord(), words.nextInt());
            words.checkEnd();
        }
    }

    private void endpointGroups(int number, String text) throws ScenarioSyntaxException {
        for (LineTokens words : groups(number, text, "endpoints")) {
            String domain = words.nextWord();
            int count = words.nextInt();
            int slots = words.skipIf("slots") ? words.nextInt() : DEFAULT_SLOTS;
            endpoints.put(domain, new EndpointGroup(count, slots));
            words.checkEnd();
        }
    }

    private static ImmutableList<LineTokens> groups(int number, String text, String statement) {
        String groups = text.substring(text.indexOf(statement) + statement.length());
        return GROUPS.splitToStream(groups)
                .map(group -> new LineTokens(number, group))
                .collect(ImmutableList.toImmutableList());
    }
}
