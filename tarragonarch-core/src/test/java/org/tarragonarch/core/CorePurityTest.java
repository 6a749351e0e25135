package org.tarragonarch.core;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.tarragonarch.core.node.EntryNode;
import org.testng.annotations.Test;

/** Guards against code in the core that depends on more than its events, which would make replays differ. */
public final class CorePurityTest {
    /** Names as they appear in the constant pool of a class file. */
    private static final ImmutableList<String> FORBIDDEN = ImmutableList.of(
            "nanoTime",
            "currentTimeMillis",
            "java/time/Clock",
            "java/lang/Thread",
            "java/lang/Math.random",
            "java/util/concurrent/",
            "java/util/UUID",
            "java/security/SecureRandom",
            "java/io/File",
            "java/io/InputStream",
            "java/nio/file/",
            "java/nio/channels/",
            "java/net/",
            "java/util/logging",
            "identityHashCode");

    @Test
    public void testCore_hasNoClockThreadOrInputOutput() throws IOException, URISyntaxException {
        Path classes = Path.of(EntryNode.class
                .getProtectionDomain()
                .getCodeSource()
                .getLocation()
                .toURI());
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(classes)) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".class")).toList()) {
                String constants = Files.readString(file, StandardCharsets.ISO_8859_1);
                FORBIDDEN.stream()
                        .filter(constants::contains)
                        .forEach(name -> found.add(file.getFileName() + ": " + name));
            }
        }
        assertEquals(found, List.of());
    }
}
