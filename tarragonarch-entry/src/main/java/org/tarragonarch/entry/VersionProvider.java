package org.tarragonarch.entry;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;
import picocli.CommandLine.IVersionProvider;

/** Reads the version from the resource that the build generates. */
final class VersionProvider implements IVersionProvider {
    private static final String RESOURCE = "version.properties";

    @Override
    public String[] getVersion() throws IOException {
        Properties properties = new Properties();
        try (InputStream resource = VersionProvider.class.getResourceAsStream(RESOURCE)) {
            properties.load(resource);
        }
        return new String[] {"tarragonarch " + properties.getProperty("version")};
    }
}
