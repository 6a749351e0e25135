package org.tarragonarch.standin.platform;

/** The types of fault of a part of the platform. */
enum FaultType {
    /** Answers 503 at once and applies nothing. */
    OUT("out"),
    /** Closes the connection without an answer and applies nothing. */
    CUT("cut"),
    /** Neither answers nor applies anything; the connection stays open. */
    SILENT("silent"),
    /** Applies and answers only after a delay. */
    SLOW("slow"),
    /** Applies a write, then closes the connection without an answer. */
    REPLY_LOST("reply-lost");

    private final String word;

    FaultType(String word) {
        this.word = word;
    }

    static FaultType of(String word) {
        for (FaultType type : values()) {
            if (type.word.equals(word)) {
                return type;
            }
        }
        throw new IllegalArgumentException("'" + word + "' is not a fault");
    }
}
