package org.tarragonarch.ctl;

import java.util.Optional;
import picocli.CommandLine.IVersionProvider;

/** Provides the version of the archive that contains this class. */
public final class VersionProvider implements IVersionProvider {
    @Override
    public String[] getVersion() {
        String version = Optional.ofNullable(VersionProvider.class.getPackage().getImplementationVersion())
                .orElse("not packaged");
        return new String[] {"tarragonctl " + version};
    }
}
