package org.tarragonarch.wire;

import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;

/** Reads and writes the body of a {@link ConfigurationGiven}. */
final class ConfigurationCodec {
    private ConfigurationCodec() {}

    static void write(FrameWriter writer, ConfigurationGiven given) {
        writer.writeLong(given.version().value()).writeBoolean(given.digest().isPresent());
        given.digest().ifPresent(digest -> writer.writeText(digest.hex()));
        given.canonicalText().ifPresent(writer::writePayload);
    }

    static ConfigurationGiven read(FrameReader reader) throws MalformedFrameException {
        ConfigurationVersion version = ConfigurationVersion.of(reader.readLong());
        if (!reader.readBoolean()) {
            return ConfigurationGiven.unavailable(version);
        }
        ContentDigest digest = new ContentDigest(reader.readText());
        return ConfigurationGiven.of(version, digest, reader.readPayload());
    }
}
