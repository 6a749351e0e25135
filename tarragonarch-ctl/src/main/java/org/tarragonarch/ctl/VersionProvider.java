package org.tarragonarch.ctl;

import java.util.Optional;
import picocli.CommandLine.IVersionProvider;

/** Returns the version of the archive that this class was loaded from. */
public final class VersionProvider implements IVersionProvider {
    @Override
    public String[] getVersion() {
        String version = Optional.ofNullable(VersionProvider.class.getPackage().getImplementationVersion())
                .orElse("not packaged");
        return new String[] {"tarragonctl " + version};
    }
}
