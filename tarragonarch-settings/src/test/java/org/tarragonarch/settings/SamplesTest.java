package org.tarragonarch.settings;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.tarragonarch.model.id.CallerName;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.OperatorName;
import org.tarragonarch.model.service.ServiceCatalog;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against sample configurations that fail the checks or do not match the sample tokens. */
public final class SamplesTest {
    private static final Path SAMPLES = Path.of("..", "samples");

    private Path folder;

    @BeforeMethod
    public void copySamples() throws IOException {
        folder = Files.createTempDirectory("samples");
        copy(SAMPLES.resolve("configuration"));
    }

    @AfterMethod(alwaysRun = true)
    public void deleteFolder() throws IOException {
        MoreFiles.deleteRecursively(folder, RecursiveDeleteOption.ALLOW_INSECURE);
    }

    @Test
    public void testConfiguration_digestsMatchTokenFiles() throws Exception {
        ServiceCatalog catalog = ConfigurationFolder.read(folder).catalog();
        assertEquals(catalog.callers().get(CallerName.of("desk")).tokenDigest(), digestOf("desk"));
        assertEquals(catalog.callers().get(CallerName.of("upload-page")).tokenDigest(), digestOf("upload-page"));
        assertEquals(catalog.callers().get(CallerName.of("members-board")).tokenDigest(), digestOf("members-board"));
        assertEquals(catalog.operators().get(OperatorName.of("ann")).tokenDigest(), digestOf("ann"));
        assertEquals(catalog.operators().get(OperatorName.of("ben")).tokenDigest(), digestOf("ben"));
    }

    @Test
    public void testMarkets_addOneService() throws Exception {
        int services = ConfigurationFolder.read(folder).catalog().services().size();
        copy(SAMPLES.resolve("markets"));
        ServiceCatalog catalog = ConfigurationFolder.read(folder).catalog();
        assertEquals(catalog.services().size(), services + 1);
        assertEquals(catalog.callers().get(CallerName.of("partner-shop")).tokenDigest(), digestOf("partner-shop"));
    }

    private void copy(Path from) throws IOException {
        try (Stream<Path> files = Files.list(from)) {
            for (Path file : files.collect(ImmutableList.toImmutableList())) {
                Files.copy(file, folder.resolve(file.getFileName()));
            }
        }
    }

    private static ContentDigest digestOf(String name) throws IOException {
        String token = Files.readString(SAMPLES.resolve("tokens").resolve(name + ".token"))
                .strip();
        return ContentDigest.of(token.getBytes(StandardCharsets.UTF_8));
    }
}
