package org.tarragonarch.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.io.MoreFiles;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.tarragonarch.model.id.CallerName;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.service.KindDefinition;
import org.tarragonarch.model.service.ServiceCatalog;
import org.tarragonarch.model.service.ServiceDefinition;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ConfigurationFolderTest {
    private static final String BASE = """
            { // everyone
              "teams": { "proofreaders": { "weight": 2, "max-running-tasks": 200 } },
              "operators": { "ann": { "role": "changer", "token-sha256": "%s" } }
            }
            """.formatted("a".repeat(64));
    private static final String MARKET = """
            {
              "callers": { "upload-page": { "team": "proofreaders", "token-sha256": "%s" } },
              "services": { "proof-board": {
                "favours": "response-time", "callers": ["upload-page"], "max-running-tasks": 240,
                "kinds": { "word-count": { "idempotent": false, "max-tasks": 110, "deadline": "20s" } } } }
            }
            """.formatted("b".repeat(64));
    private static final ServiceName PROOF_BOARD = ServiceName.of("proof-board");

    private Path folder;

    @BeforeMethod
    public void createFolder() throws IOException {
        folder = Files.createTempDirectory("configuration");
        write("00-base.jsonc", BASE);
        write("10-derwent.json", MARKET);
    }

    @AfterMethod(alwaysRun = true)
    public void deleteFolder() throws IOException {
        MoreFiles.deleteRecursively(folder, com.google.common.io.RecursiveDeleteOption.ALLOW_INSECURE);
    }

    @Test
    public void testRead_mergesInNameOrder() throws Exception {
        write("20-later.jsonc", """
                { "services": { "proof-board": { "max-running-tasks": 120,
                    "kinds": { "style-check": { "idempotent": true } } } },
                  "teams": { "proofreaders": { "weight": null } } }
                """);
        write("notes.txt", "not read");
        CheckedConfiguration read = ConfigurationFolder.read(folder);
        ServiceDefinition board = read.catalog().services().get(PROOF_BOARD);
        assertEquals(read.files(), ImmutableList.of("00-base.jsonc", "10-derwent.json", "20-later.jsonc"));
        assertEquals(board.maxRunningTasks(), 120);
        assertEquals(board.callers(), ImmutableSet.of(CallerName.of("upload-page")));
        assertEquals(board.kinds().keySet(), ImmutableSet.of(KindName.of("word-count"), KindName.of("style-check")));
        assertEquals(
                board.kinds().get(KindName.of("word-count")),
                new KindDefinition(
                        KindName.of("word-count"),
                        false,
                        110,
                        1 << 20,
                        Duration.ofSeconds(20),
                        Duration.ofMillis(200)));
        assertEquals(read.catalog().teams().values().iterator().next().weight(), 1);
    }

    @Test
    public void testRead_digestIgnoresCommentsAndOrder() throws Exception {
        CheckedConfiguration first = ConfigurationFolder.read(folder);
        write("00-base.jsonc", """
                { "operators": { "ann": { "token-sha256": "%s", "role": "changer" } },
                  "teams": { "proofreaders": { "max-running-tasks": 200, "weight": 2 } } }
                """.formatted("a".repeat(64)));
        assertEquals(ConfigurationFolder.read(folder).digest(), first.digest());
    }

    @Test
    public void testCatalogReader_readsCanonicalTextBack() throws Exception {
        CheckedConfiguration read = ConfigurationFolder.read(folder);
        ServiceCatalog catalog = CatalogReader.read(ConfigurationVersion.of(7), read.canonical());
        assertEquals(catalog.version(), ConfigurationVersion.of(7));
        assertEquals(catalog.digest(), read.digest());
        assertEquals(catalog.services(), read.catalog().services());
    }

    @Test
    public void testCatalogReader_invalidText() {
        byte[] text = "{ \"services\": { \"x\": {} } }".getBytes(java.nio.charset.StandardCharsets.UTF_8);
        assertThrows(SettingsException.class, () -> CatalogReader.read(ConfigurationVersion.of(1), text));
    }

    @Test
    public void testRead_reportsAllMistakes() throws Exception {
        write("20-kivilahti.jsonc", """
                {
                  "callers": { "desk": { "team": "proofreader", "token-sha256": "%s" } },
                  "services": { "registry-gw": {
                    "favours": "few-mesages",
                    "callers": ["desks"],
                    "max-runing-tasks": 240,
                    "kinds": { "renewal": { "idempotent": "no", "max-tasks": 0, "expected-run-time": "40s" } }
                  } }
                }
                """.formatted("b".repeat(64)));
        SettingsException thrown = expectThrows(SettingsException.class, () -> ConfigurationFolder.read(folder));
        String file = "20-kivilahti.jsonc:";
        assertEquals(
                thrown.mistakes().stream().map(Mistake::toString).toList(),
                List.of(
                        file
                                + "2: callers.desk.team: refers to the team 'proofreader', which is not defined; did"
                                + " you mean 'proofreaders'?",
                        file + "2: callers.desk.token-sha256: is the same as that of callers.upload-page; tokens"
                                + " must be unique",
                        file + "3: services.registry-gw.max-running-tasks: is missing",
                        file + "4: services.registry-gw.favours: 'few-mesages' is not one of response-time,"
                                + " few-messages; did you mean 'few-messages'?",
                        file + "5: services.registry-gw.callers: refers to the caller 'desks', which is not defined;"
                                + " did you mean 'desk'?",
                        file + "6: services.registry-gw.max-runing-tasks: is not a known key; did you mean"
                                + " 'max-running-tasks'?",
                        file + "7: services.registry-gw.kinds.renewal.expected-run-time: 40s is longer than the"
                                + " deadline, 30s, so no request could complete in time",
                        file + "7: services.registry-gw.kinds.renewal.idempotent: is a string, expected true or false",
                        file + "7: services.registry-gw.kinds.renewal.max-tasks: 0 is not a whole number from 1 to"
                                + " 10000"));
    }

    @Test
    public void testRead_nullThatRemovesNothing() throws Exception {
        write("90-closing.jsonc", "{ \"services\": { \"prof-board\": null } }");
        SettingsException thrown = expectThrows(SettingsException.class, () -> ConfigurationFolder.read(folder));
        assertEquals(
                thrown.mistakes().get(0).toString(),
                "90-closing.jsonc:1: services.prof-board: is null, which removes a key, but no earlier file has this"
                        + " key; did you mean 'proof-board'?");
    }

    @Test
    public void testRead_noOperatorMayChange() throws Exception {
        write("90-readers.jsonc", "{ \"operators\": { \"ann\": { \"role\": \"reader\" } } }");
        assertThrows(SettingsException.class, () -> ConfigurationFolder.read(folder));
    }

    @Test
    public void testRead_emptyOrMissingFolder() throws Exception {
        Path empty = Files.createDirectory(folder.resolve("empty"));
        assertThrows(SettingsException.class, () -> ConfigurationFolder.read(empty));
        assertThrows(SettingsException.class, () -> ConfigurationFolder.read(folder.resolve("missing")));
    }

    @Test
    public void testDifference_perDefinition() throws Exception {
        ServiceCatalog before = ConfigurationFolder.read(folder).catalog();
        write("20-later.jsonc", """
                { "services": { "proof-board": { "max-running-tasks": 120 } },
                  "teams": { "desks": { "max-running-tasks": 10 } } }
                """);
        ServiceCatalog after = ConfigurationFolder.read(folder).catalog();
        CatalogDifference difference = CatalogDifference.between(Optional.of(before), after);
        assertEquals(difference.summary(), "changed service proof-board (max-running-tasks), added team desks");
        assertEquals(difference.changes().get(0).details(), ImmutableList.of("max-running-tasks: 240 -> 120"));
        assertEquals(
                CatalogDifference.between(Optional.of(after), before).summary(),
                "changed service proof-board (max-running-tasks), removed team desks");
        assertEquals(CatalogDifference.between(Optional.of(after), after).summary(), "no change");
    }

    @Test
    public void testRead_drainedDomains() throws Exception {
        ServiceCatalog before = ConfigurationFolder.read(folder).catalog();
        write("20-later.jsonc", "{ \"drained-domains\": [ \"hobart\" ] }");
        ServiceCatalog after = ConfigurationFolder.read(folder).catalog();
        assertEquals(after.drainedDomains(), ImmutableSet.of(FailureDomain.of("hobart")));
        assertEquals(CatalogDifference.between(Optional.of(before), after).summary(), "added failure domain hobart");
        write("30-wrong.jsonc", "{ \"drained-domains\": [ \"Not A Domain\" ] }");
        assertThrows(SettingsException.class, () -> ConfigurationFolder.read(folder));
    }

    private void write(String name, String text) throws IOException {
        Files.writeString(folder.resolve(name), text);
    }
}
