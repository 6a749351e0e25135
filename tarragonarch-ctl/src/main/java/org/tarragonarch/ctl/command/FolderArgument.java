package org.tarragonarch.ctl.command;

import java.nio.file.Path;
import org.tarragonarch.settings.CheckedConfiguration;
import org.tarragonarch.settings.ConfigurationFolder;
import org.tarragonarch.settings.SettingsException;
import picocli.CommandLine.Parameters;

/** The command line argument for the configuration folder. */
final class FolderArgument {
    @Parameters(
            paramLabel = "FOLDER",
            description = "Folder with *.json and *.jsonc files, merged in the order of their names.")
    private Path folder;

    CheckedConfiguration read() throws SettingsException {
        return ConfigurationFolder.read(folder);
    }

    @Override
    public String toString() {
        return folder.toString();
    }
}
