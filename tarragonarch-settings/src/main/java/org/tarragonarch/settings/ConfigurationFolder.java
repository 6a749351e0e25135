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

/** Reads a folder of small configuration files, merges them in the order of their names and checks the whole. */
public final class ConfigurationFolder {
    private ConfigurationFolder() {}

    /**
     * Reads and checks the files of a folder whose names end in {@code .json} or {@code .jsonc}; folders within it and
     * names that start with a dot are passed over.
     *
     * @throws SettingsException that names every mistake of every file
     */
    public static CheckedConfiguration read(Path folder) throws SettingsException {
        MistakeCollector mistakes = new MistakeCollector();
        ImmutableList<Path> files = files(folder, mistakes);
        mistakes.throwIfAny(folder.toString());
        ObjectValue merged = merge(files, mistakes);
        // A file that cannot be read leaves gaps, and what refers to them would only repeat the one mistake.
        mistakes.throwIfAny(folder.toString());
        byte[] canonical = CanonicalText.of(merged);
        SettingsObject root = SettingsObject.of(merged, mistakes);
        ServiceCatalog catalog = new CatalogBuilder(root).build(ConfigurationVersion.NONE, ContentDigest.of(canonical));
        checkSomeoneMayChange(root, catalog);
        mistakes.throwIfAny(folder.toString());
        ImmutableList<String> names =
                files.stream().map(file -> file.getFileName().toString()).collect(ImmutableList.toImmutableList());
        return new CheckedConfiguration(names, canonical, catalog);
    }

    private static ImmutableList<Path> files(Path folder, MistakeCollector mistakes) {
        SourceLocation place = new SourceLocation(folder.toString(), 1);
        try (Stream<Path> found = Files.list(folder)) {
            ImmutableList<Path> files = found.filter(ConfigurationFolder::isConfigurationFile)
                    .sorted((one, other) -> one.getFileName()
                            .toString()
                            .compareTo(other.getFileName().toString()))
                    .collect(ImmutableList.toImmutableList());
            if (files.isEmpty()) {
                mistakes.add(place, "folder", "holds no file whose name ends in .json or .jsonc");
            }
            return files;
        } catch (NoSuchFileException e) {
            mistakes.add(place, "folder", "does not exist");
            return ImmutableList.of();
        } catch (IOException e) {
            mistakes.add(place, "folder", "cannot be read: " + e);
            return ImmutableList.of();
        }
    }

    private static boolean isConfigurationFile(Path file) {
        String name = file.getFileName().toString();
        boolean rightEnd = name.endsWith(".json") || name.endsWith(".jsonc");
        return rightEnd && !name.startsWith(".") && Files.isRegularFile(file);
    }

    private static ObjectValue merge(ImmutableList<Path> files, MistakeCollector mistakes) {
        ConfigurationMerger merger = new ConfigurationMerger(mistakes);
        ObjectValue merged = null;
        for (Path file : files) {
            String name = file.getFileName().toString();
            try {
                ObjectValue parsed = new SettingsParser(name, mistakes).parse(Files.readAllBytes(file));
                // The first file too goes through the merge, so that a null in it is noticed.
                ObjectValue under = merged == null ? new ObjectValue(parsed.location(), ImmutableMap.of()) : merged;
                merged = merger.merge(under, parsed);
            } catch (IOException e) {
                mistakes.add(new SourceLocation(name, 1), "file", "cannot be read: " + e);
            }
        }
        return merged == null ? new ObjectValue(new SourceLocation("", 1), ImmutableMap.of()) : merged;
    }

    /** Guards against locking out every operator, which would show only at the next change. */
    private static void checkSomeoneMayChange(SettingsObject root, ServiceCatalog catalog) {
        boolean someone = catalog.operators().values().stream()
                .anyMatch(operator -> operator.role().mayChange());
        if (!someone) {
            root.addMistake(
                    "operators",
                    "has nobody whose role is '" + OperatorRole.CHANGER.word()
                            + "', so nobody could change this configuration again");
        }
    }
}
