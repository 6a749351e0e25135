package org.tarragonarch.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.service.OperatorRole;
import org.tarragonarch.model.service.ServiceCatalog;
import org.tarragonarch.settings.SettingsValue.ObjectValue;

/** Reads the configuration files of a folder, merges them in the order of their names and checks the result. */
public final class ConfigurationFolder {
    private ConfigurationFolder() {}

    /**
     * Reads and checks the files of a folder whose names end in {@code .json} or {@code .jsonc}. Subfolders and files
     * whose names start with a dot are skipped.
     *
     * @throws SettingsException if there are mistakes; it holds those of all files
     */
    public static CheckedConfiguration read(Path folder) throws SettingsException {
        MistakeCollector mistakes = new MistakeCollector();
        ImmutableList<Path> files = files(folder, mistakes);
        mistakes.throwIfAny(folder.toString());
        ObjectValue merged = merge(files, mistakes);
        // References to definitions of an unreadable file would only be reported as further mistakes.
        mistakes.throwIfAny(folder.toString());
        byte[] canonical = CanonicalText.of(merged);
        SettingsObject root = SettingsObject.of(merged, mistakes);
        ServiceCatalog catalog = new CatalogBuilder(root).build(ConfigurationVersion.NONE, ContentDigest.of(canonical));
        checkHasChanger(root, catalog);
        mistakes.throwIfAny(folder.toString());
        ImmutableList<String> names =
                files.stream().map(file -> file.getFileName().toString()).collect(ImmutableList.toImmutableList());
        return new CheckedConfiguration(names, canonical, catalog);
    }

    private static ImmutableList<Path> files(Path folder, MistakeCollector mistakes) {
        SourceLocation location = new SourceLocation(folder.toString(), 1);
        try (Stream<Path> found = Files.list(folder)) {
            ImmutableList<Path> files = found.filter(ConfigurationFolder::isConfigurationFile)
                    .sorted((one, other) -> one.getFileName()
                            .toString()
                            .compareTo(other.getFileName().toString()))
                    .collect(ImmutableList.toImmutableList());
            if (files.isEmpty()) {
                mistakes.add(location, "folder", "holds no file whose name ends in .json or .jsonc");
            }
            return files;
        } catch (NoSuchFileException e) {
            mistakes.add(location, "folder", "does not exist");
            return ImmutableList.of();
        } catch (IOException e) {
            mistakes.add(location, "folder", "cannot be read: " + e);
            return ImmutableList.of();
        }
    }

    private static boolean isConfigurationFile(Path file) {
        String name = file.getFileName().toString();
        boolean hasExtension = name.endsWith(".json") || name.endsWith(".jsonc");
        return hasExtension && !name.startsWith(".") && Files.isRegularFile(file);
    }

    private static ObjectValue merge(ImmutableList<Path> files, MistakeCollector mistakes) {
        ConfigurationMerger merger = new ConfigurationMerger(mistakes);
        ObjectValue merged = null;
        for (Path file : files) {
            String name = file.getFileName().toString();
            try {
                ObjectValue parsed = new SettingsParser(name, mistakes).parse(Files.readAllBytes(file));
                // The first file is merged too, so that a null in it is reported.
                ObjectValue base = merged == null ? new ObjectValue(parsed.location(), ImmutableMap.of()) : merged;
                merged = merger.merge(base, parsed);
            } catch (IOException e) {
                mistakes.add(new SourceLocation(name, 1), "file", "cannot be read: " + e);
            }
        }
        return merged == null ? new ObjectValue(new SourceLocation("", 1), ImmutableMap.of()) : merged;
    }

    /** Requires an operator who may change the configuration; without one, no further change could be applied. */
    private static void checkHasChanger(SettingsObject root, ServiceCatalog catalog) {
        boolean hasChanger = catalog.operators().values().stream()
                .anyMatch(operator -> operator.role().mayChange());
        if (!hasChanger) {
            root.addMistake(
                    "operators",
                    "defines no operator with the role '" + OperatorRole.CHANGER.word()
                            + "', so the configuration could not be changed again");
        }
    }
}
