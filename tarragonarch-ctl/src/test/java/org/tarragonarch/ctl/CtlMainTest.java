package org.tarragonarch.ctl;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.model.id.ContentDigest;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class CtlMainTest {
    private static final String CONFIGURATION = """
            { "teams": { "proofreaders": { "max-running-tasks": 200 } },
              "operators": { "ann": { "role": "changer", "token-sha256": "%s" } } }
            """.formatted("a".repeat(64));
    private static final String CHANGE = "{ \"teams\": { \"proofreaders\": { \"max-running-tasks\": 20 } } }";

    private FakeSystem system;
    private FakeNode hobart;
    private FakeNode devonport;
    private Path home;
    private Path folder;
    private StringWriter out;
    private StringWriter err;

    @BeforeMethod
    public void startNodes() throws IOException {
        system = new FakeSystem();
        hobart = new FakeNode(system, "hobart-1");
        devonport = new FakeNode(system, "devonport-1");
        home = Files.createTempDirectory("tarragonctl");
        folder = Files.createDirectory(home.resolve("configuration"));
        Files.writeString(folder.resolve("00-base.jsonc"), CONFIGURATION);
        Files.writeString(home.resolve("ann.token"), FakeSystem.TOKEN + "\n");
        writeSettings("ann.token");
    }

    @AfterMethod(alwaysRun = true)
    public void stopNodes() throws IOException {
        hobart.close();
        devonport.close();
        MoreFiles.deleteRecursively(home, RecursiveDeleteOption.ALLOW_INSECURE);
    }

    @Test
    public void testCheck_namesMistakes() throws IOException {
        Files.writeString(folder.resolve("10-market.jsonc"), "{ \"team\": {} }");
        assertEquals(run("check", folder.toString()), ExitCode.USAGE.number());
        assertTrue(err().contains("10-market.jsonc:1: team: is not a known key; did you mean 'teams'?"), err());
        assertEquals(run("check", folder.toString(), "-o", "json"), ExitCode.USAGE.number());
        assertTrue(out().contains("\"suggestion\" : \"teams\""), out());
    }

    @Test
    public void testApply_waitsUntilInForceEverywhere() {
        devonport.statusCallsUntilAdopted.set(2);
        assertEquals(connected("apply", folder.toString()), ExitCode.OK.number());
        assertTrue(out().contains("accepted as version 1, in place of version 0"), out());
        assertTrue(err().contains("version 1 in force: devonport 0/1, hobart 1/1"), err());
        assertTrue(out().contains("devonport  in force         1      1"), out());
    }

    @Test
    public void testApply_notInForceInTime() {
        devonport.statusCallsUntilAdopted.set(Integer.MAX_VALUE);
        assertEquals(connected("apply", folder.toString(), "--wait", "300ms"), ExitCode.NOT_IN_FORCE.number());
        assertTrue(out().contains("devonport  not yet          0      1  an older version on devonport-1"), out());
    }

    @Test
    public void testApply_unchanged() {
        connected("apply", folder.toString());
        assertEquals(connected("apply", folder.toString()), ExitCode.OK.number());
        assertTrue(out().contains("nothing to change: version 1 is the same"), out());
        assertEquals(system.newest(), 1);
    }

    /** Guards against a change that overwrites another operator's, or a conflict that does not name it. */
    @Test
    public void testApply_conflict() throws IOException {
        connected("apply", folder.toString());
        system.accept(1, "bens", "ben's change", CONFIGURATION);
        hobart.statusCallsUntilAdopted.set(Integer.MAX_VALUE);
        devonport.statusCallsUntilAdopted.set(Integer.MAX_VALUE);
        Files.writeString(folder.resolve("10-less.jsonc"), CHANGE);
        assertEquals(connected("apply", folder.toString()), ExitCode.CONFLICT.number());
        assertTrue(err().contains("version 2 by ben was accepted first"), err());
        assertEquals(system.newest(), 2);
    }

    @Test
    public void testApply_fromOtherVersion() throws IOException {
        connected("apply", folder.toString());
        Files.writeString(folder.resolve("10-less.jsonc"), CHANGE);
        assertEquals(connected("apply", folder.toString(), "--from", "0"), ExitCode.CONFLICT.number());
        assertEquals(system.newest(), 1);
    }

    /** Guards against an accepted change that is reported as failed or as a conflict after its reply was lost. */
    @Test
    public void testApply_replyLost() {
        hobart.repliesToDrop.set(1);
        assertEquals(connected("apply", folder.toString()), ExitCode.OK.number());
        assertEquals(system.newest(), 1);
    }

    /** Guards against an accepted change that is reported as not made because every reply was lost. */
    @Test
    public void testApply_everyReplyLost() {
        hobart.repliesToDrop.set(1);
        devonport.repliesToDrop.set(1);
        assertEquals(connected("apply", folder.toString()), ExitCode.FAILED.number());
        String change = system.records().get(0).change().value();
        assertTrue(err().contains("it is unknown whether change " + change + " was accepted"), err());
        assertFalse(err().contains("nothing was changed"), err());
        connected("audit");
        assertTrue(out().contains(change), out());
    }

    /** Guards against a change that is reported as uncertain although every node refused it without a store. */
    @Test
    public void testApply_storeUnavailable() {
        system.storeUnavailable = true;
        assertEquals(connected("apply", folder.toString()), ExitCode.FAILED.number());
        assertTrue(err().contains("not accepted; nothing was changed"), err());
        assertEquals(system.newest(), 0);
    }

    @Test
    public void testRollback_createsNewVersion() throws IOException {
        connected("apply", folder.toString());
        Files.writeString(folder.resolve("10-less.jsonc"), CHANGE);
        connected("apply", folder.toString());
        assertEquals(connected("rollback", "1"), ExitCode.OK.number());
        assertTrue(out().contains("max-running-tasks: 20 -> 200"), out());
        assertEquals(system.text(3), system.text(1));
        connected("history");
        assertTrue(
                out().contains("ann       rolled back to version 1: changed team proofreaders (max-running-tasks)"),
                out());
    }

    @Test
    public void testDomainDrain_auditAndRollback() {
        connected("apply", folder.toString());
        assertEquals(connected("domain", "drain", "hobart"), ExitCode.OK.number());
        assertTrue(system.text(2).contains("\"drained-domains\" : [ \"hobart\" ]"), system.text(2));
        assertEquals(connected("domain", "drain", "hobart"), ExitCode.OK.number());
        assertEquals(system.newest(), 2);
        connected("history");
        assertTrue(out().contains("drained failure domain hobart"), out());
        assertEquals(connected("rollback", "1"), ExitCode.OK.number());
        assertEquals(system.text(3), system.text(1));
    }

    @Test
    public void testDomainUndrain_keepsOtherDomainsDrained() {
        connected("apply", folder.toString());
        connected("domain", "drain", "launceston");
        connected("domain", "drain", "hobart");
        assertEquals(connected("domain", "undrain", "launceston"), ExitCode.OK.number());
        assertTrue(system.text(4).contains("\"drained-domains\" : [ \"hobart\" ]"), system.text(4));
        assertEquals(connected("domain", "undrain", "hobart"), ExitCode.OK.number());
        assertEquals(system.text(5), system.text(1));
    }

    @Test
    public void testDomainDrain_invalidNameOrNoConfiguration() {
        assertEquals(connected("domain", "drain", "Not A Domain"), ExitCode.USAGE.number());
        assertEquals(connected("domain", "drain", "hobart"), ExitCode.FAILED.number());
        assertEquals(system.newest(), 0);
    }

    @Test
    public void testStatus_oneNodeDown() {
        devonport.close();
        assertEquals(connected("status"), ExitCode.FAILED.number());
        assertTrue(out().contains("hobart-1  hobart  serving"), out());
        assertTrue(err().contains("no answer from " + devonport.address()), err());
    }

    @Test
    public void testStatus_invalidTokenIsNotPrinted() throws IOException {
        Files.writeString(home.resolve("wrong.token"), "another-secret");
        writeSettings("wrong.token");
        assertEquals(connected("status"), ExitCode.FAILED.number());
        assertTrue(err().contains("nobody holds this token (status 401)"), err());
        assertFalse(err().contains("another-secret"), err());
    }

    @Test
    public void testDrainEndpoint_onEveryNode() {
        assertEquals(connected("drain", "endpoint", "w1"), ExitCode.OK.number());
        assertTrue(hobart.drained.contains("w1") && devonport.drained.contains("w1"));
        connected("endpoints", "--not-live");
        assertTrue(out().contains("w1        hobart  drained      8          4  all 2"), out());
        assertEquals(connected("undrain", "endpoint", "w1"), ExitCode.OK.number());
        assertTrue(hobart.drained.isEmpty() && devonport.drained.isEmpty());
    }

    @Test
    public void testSubmit_printsOutcome() {
        assertEquals(
                connected("submit", "job", "proof-board", "word-count", "--inputs", "[\"one two\"]"),
                ExitCode.OK.number());
        assertTrue(out().contains("outcome complete (status 200), submission s1"), out());
        assertEquals(
                connected("submit", "request", "no-board", "word-count", "--input", "1"), ExitCode.FAILED.number());
        assertTrue(out().contains("outcome not-run (status 404)"), out());
    }

    /** Guards against an input file that picocli expands to further arguments. */
    @Test
    public void testSubmit_inputsFromFile() throws IOException {
        Path inputs = Files.createTempFile("inputs", ".json");
        Files.writeString(inputs, "[\"one two\", \"three\"]");
        assertEquals(
                connected("submit", "job", "proof-board", "word-count", "--inputs", "@" + inputs),
                ExitCode.OK.number());
        Files.delete(inputs);
    }

    @Test
    public void testSubmit_missingFiles() {
        String[] submit = {"submit", "request", "proof-board", "word-count", "--input", "@none.json"};
        assertEquals(connected(submit), ExitCode.USAGE.number());
        assertTrue(err().startsWith("the input file none.json does not exist"), err());
        submit = new String[] {
            "submit", "request", "proof-board", "word-count", "--input", "1", "--caller-token-file", "none.token"
        };
        assertEquals(connected(submit), ExitCode.USAGE.number());
        assertTrue(err().startsWith("the token file none.token does not exist"), err());
    }

    @Test
    public void testToken_digestIsOfToken() {
        run("token");
        String[] cells = out().lines().skip(1).findFirst().orElseThrow().split(" +");
        assertEquals(
                cells[1],
                ContentDigest.of(cells[0].getBytes(StandardCharsets.UTF_8)).hex());
    }

    @Test
    public void testUsage_exitsWithTwo() {
        assertEquals(run("status"), ExitCode.USAGE.number());
        assertEquals(run("status", "--admin", "localhost:1"), ExitCode.USAGE.number());
        assertEquals(run("aply"), ExitCode.USAGE.number());
        assertEquals(run("--help"), ExitCode.OK.number());
        assertTrue(out().contains("4   accepted, but not in force everywhere"), out());
    }

    private void writeSettings(String tokenFile) throws IOException {
        Files.writeString(home.resolve("ctl.jsonc"), """
                { "admin-addresses": ["%s", "%s"], "token-file": "%s",
                  "caller-address": "%s", "caller-token-file": "ann.token" }
                """.formatted(
                        hobart.address(), devonport.address(), tokenFile, hobart.address()));
    }

    private int connected(String... arguments) {
        List<String> all = new ArrayList<>(List.of(arguments));
        all.add("--settings");
        all.add(home.resolve("ctl.jsonc").toString());
        return run(all.toArray(String[]::new));
    }

    private int run(String... arguments) {
        out = new StringWriter();
        err = new StringWriter();
        return CtlMain.run(new PrintWriter(out, true), new PrintWriter(err, true), arguments);
    }

    private String out() {
        return out.toString();
    }

    private String err() {
        return err.toString();
    }
}
