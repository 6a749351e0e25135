package org.tarragonarch.standin.scenario;

import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.nio.file.Path;
import java.util.Optional;

/**
 * A parser of scenarios: one statement per line; {@code #} begins a comment.
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
 * <p>A scenario that begins with {@code trace FILE} replays the trace of a node. Its submissions are named by their
 * ids; {@code every} names all of them.
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
     * Parses a scenario.
     *
     * @param text the text of the scenario
     * @param folder the folder that the path of a trace is relative to
     * @throws ScenarioSyntaxException if a line is not a statement; the message names the line
     */
    public static Scenario parse(String text, Path folder) throws ScenarioSyntaxException {
        ScenarioParser parser = new ScenarioParser(folder);
        int number = 0;
        for (String line : Splitter.on('\n').split(text)) {
            number++;
            int comment = line.indexOf('#');
            parser.parseLine(number, comment < 0 ? line : line.substring(0, comment));
        }
        return new Scenario(
                parser.trace,
                parser.seed,
                parser.nodes.buildOrThrow(),
                parser.endpoints.buildOrThrow(),
                parser.steps.build(),
                parser.expectations.build());
    }

    private void parseLine(int number, String text) throws ScenarioSyntaxException {
        LineTokens tokens = new LineTokens(number, text);
        if (tokens.isEmpty()) {
            return;
        }
        String statement = tokens.nextWord();
        switch (statement) {
            case "trace" -> trace = Optional.of(folder.resolve(tokens.nextWord()));
            case "seed" -> seed = tokens.nextInt();
            case "nodes" -> parseNodeGroups(number, text);
            case "endpoints" -> parseEndpointGroups(number, text);
            case "at" -> {
                steps.addAll(StepParser.parse(tokens));
                tokens.checkEnd();
            }
            case "expect" -> {
                String shownLine =
                        "line " + number + ": " + CharMatcher.whitespace().trimAndCollapseFrom(text, ' ');
                expectations.add(ExpectationParser.parse(shownLine, tokens));
                tokens.checkEnd();
            }
            default -> throw tokens.syntaxError("'" + statement + "' is not a statement");
        }
    }

    private void parseNodeGroups(int number, String text) throws ScenarioSyntaxException {
        for (LineTokens tokens : groups(number, text, "nodes")) {
            nodes.put(tokens.nextWord(), tokens.nextInt());
            tokens.checkEnd();
        }
    }

    private void parseEndpointGroups(int number, String text) throws ScenarioSyntaxException {
        for (LineTokens tokens : groups(number, text, "endpoints")) {
            String domain = tokens.nextWord();
            int count = tokens.nextInt();
            int slots = tokens.skipIf("slots") ? tokens.nextInt() : DEFAULT_SLOTS;
            endpoints.put(domain, new EndpointGroup(count, slots));
            tokens.checkEnd();
        }
    }

    private static ImmutableList<LineTokens> groups(int number, String text, String statement) {
        String groups = text.substring(text.indexOf(statement) + statement.length());
        return GROUPS.splitToStream(groups)
                .map(group -> new LineTokens(number, group))
                .collect(ImmutableList.toImmutableList());
    }
}
