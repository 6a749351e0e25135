package org.tarragonarch.platform;

/** The parts of the platform that receive calls. */
enum PlatformPart {
    TABLES("table service"),
    OBJECTS("object store"),
    VMS("VM list");

    private final String word;

    PlatformPart(String word) {
        this.word = word;
    }

    String word() {
        return word;
    }
}
