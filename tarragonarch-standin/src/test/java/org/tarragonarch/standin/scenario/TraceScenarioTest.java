package org.tarragonarch.standin.scenario;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class TraceScenarioTest {
    private static final String EXPECTED = """
            expect hobart-1_1_0 complete before 5400ms
            expect hobart-1_1_1 unknown with answer-lost
            expect at 5s phase serving on all
            expect at 5s peers 1 alive on all
            expect at 7s configuration 1 on all
            expect at 12s configuration 2 on all
            expect noted peer-silent 1 on all
            """;

    private Path folder;

    @BeforeMethod
    public void createFolder() throws Exception {
        folder = Files.createTempDirectory("traces");
        parse("""
                seed 3
                nodes hobart 2
                endpoints hobart 1
                at 5s      submit first job tasks 3 runtime 200ms to hobart-1
                at 6s      submit lost job tasks 3 runtime 200ms to hobart-1
                at 6100ms  kill endpoint hobart-w1
                at 7s      kill node hobart-2
                at 8s      accept configuration
                """).runRecorded(folder);
    }

    @AfterMethod
    public void deleteFolder() throws Exception {
        MoreFiles.deleteRecursively(folder, RecursiveDeleteOption.ALLOW_INSECURE);
    }

    /** Guards against a replay whose answers or configurations differ from those of the recorded run. */
    @Test
    public void testRun_replayedTraceGivesTheSameOutcomes() throws Exception {
        assertEquals(parse("trace hobart-1_1.jsonl\n" + EXPECTED).run(), ImmutableList.of());
    }

    @Test
    public void testRun_reportsMismatches() throws Exception {
        ImmutableList<String> failures = parse("""
                        trace hobart-1_1.jsonl
                        expect every complete
                        expect at 7s configuration 2 on all
                        expect no start on hobart-w1 after 5500ms
                        """).run();
        assertEquals(failures.size(), 3, failures.toString());
    }

    private Scenario parse(String text) throws ScenarioSyntaxException {
        return ScenarioParser.parse(text, folder);
    }
}
