package org.tarragonarch.standin.endpoint;

/** The types of fault of a stand-in endpoint. */
enum FaultType {
    FAIL_ALL("fail-all"),
    HANG("hang"),
    ANSWER_LATE("answer-late"),
    CUT_SHORT("cut-short"),
    WRONG_ID("wrong-id"),
    CLOSE_AFTER_READ("close-after-read"),
    CLOSE_BEFORE_READ("close-before-read"),
    BUSY("busy");

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
