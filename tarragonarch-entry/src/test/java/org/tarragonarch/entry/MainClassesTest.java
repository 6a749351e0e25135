package org.tarragonarch.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the main classes that deployment files and scripts name. */
public final class MainClassesTest {
    private static final Path ROOT = Path.of("..");
    private static final Pattern CLASS_NAME = Pattern.compile("org\\.tarragonarch(\\.[a-z]+)+\\.[A-Z]\\w*");
    private static final String MAIN = "public static void main(String[] ";

    @DataProvider
    public Object[] files() {
        return new Object[] {"deploy/system.toml", "demo", "compare", "tarragonarch-dist/pom.xml"};
    }

    /** Guards against a main class that was renamed or moved while a file still has its old name. */
    @Test(dataProvider = "files")
    public void testMain_existsForEveryNamedClass(String file) throws IOException {
        Matcher names = CLASS_NAME.matcher(Files.readString(ROOT.resolve(file)));
        int found = 0;
        while (names.find()) {
            found++;
            ImmutableList<Path> sources = sourcesOf(names.group());
            assertEquals(sources.size(), 1, names.group() + " in " + file);
            assertTrue(Files.readString(sources.get(0)).contains(MAIN), names.group() + " in " + file);
        }
        assertTrue(found > 0, file + " names no class");
    }

    private static ImmutableList<Path> sourcesOf(String name) throws IOException {
        String source = "src/main/java/" + name.replace('.', '/') + ".java";
        ImmutableList.Builder<Path> sources = ImmutableList.builder();
        try (DirectoryStream<Path> modules = Files.newDirectoryStream(ROOT, Files::isDirectory)) {
            for (Path module : modules) {
                if (Files.exists(module.resolve(source))) {
                    sources.add(module.resolve(source));
                }
            }
        }
        return sources.build();
    }
}
