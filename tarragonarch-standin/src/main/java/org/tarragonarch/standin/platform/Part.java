package org.tarragonarch.standin.platform;

import java.util.Optional;

/** The parts of the platform, which fail independently. */
enum Part {
    TABLES("tables"),
    OBJECTS("objects"),
    VMS("vms");

    private final String word;

    Part(String word) {
        this.word = word;
    }

    static Part of(String word) {
        for (Part part : values()) {
            if (part.word.equals(word)) {
                return part;
            }
        }
        throw new IllegalArgumentException("'" + word + "' is not a part of the platform");
    }

    /** Returns the part that serves a path. */
    static Optional<Part> serving(String path) {
        if (path.startsWith("/tables/") || path.equals("/transactions")) {
            return Optional.of(TABLES);
        }
        if (path.startsWith("/objects/")) {
            return Optional.of(OBJECTS);
        }
        if (path.equals("/vms") || path.startsWith("/vms/")) {
            return Optional.of(VMS);
        }
        return Optional.empty();
    }
}
