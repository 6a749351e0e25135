package org.tarragonarch.benchmark.experiment;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;

/** Reads load shapes from files of JSON with comments, or from the built-in ones. */
public final class LoadShapes {
    private static final JsonMapper MAPPER =
            JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();

    private LoadShapes() {}

    /**
     * Reads a shape from a file.
     *
     * @throws StepException if the file cannot be read or is not a valid shape
     */
    public static LoadShape read(Path file) throws StepException {
        try {
            return MAPPER.readValue(Files.readAllBytes(file), LoadShape.class);
        } catch (IOException e) {
            throw unreadable(file.toString(), e);
        }
    }

    /**
     * Reads a built-in shape.
     *
     * @param name the file name without its extension
     * @throws StepException if there is no such shape, or it cannot be read
     */
    public static LoadShape named(String name) throws StepException {
        try (InputStream in = LoadShapes.class.getResourceAsStream("/shapes/" + name + ".jsonc")) {
            if (in == null) {
                throw new StepException(Step.LIFECYCLE, name, "no such shape");
            }
            return MAPPER.readValue(in, LoadShape.class);
        } catch (IOException e) {
            throw unreadable(name, e);
        }
    }

    private static StepException unreadable(String source, IOException cause) {
        return new StepException(Step.LIFECYCLE, source, "unreadable shape: " + cause.getMessage(), cause);
    }
}
