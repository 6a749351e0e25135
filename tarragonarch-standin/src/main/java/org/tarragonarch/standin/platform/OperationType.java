package org.tarragonarch.standin.platform;

import java.util.Optional;

/** The operations of transactions: each has a condition on the row that stands, and a row that it leaves. */
enum OperationType {
    /** Inserts a row where none stands. */
    INSERT_IF_ABSENT("insert-if-absent") {
        @Override
        boolean holds(Operation operation, Optional<Row> standing) {
            return standing.isEmpty();
        }

        @Override
        Optional<Row> result(Operation operation, Optional<Row> standing) {
            return Optional.of(new Row(operation.key(), 1, operation.value(), System.nanoTime()));
        }
    },
    /** Replaces a row that still has the version given. */
    REPLACE_IF_VERSION("replace-if-version") {
        @Override
        boolean holds(Operation operation, Optional<Row> standing) {
            return standing.isPresent() && standing.get().version() == operation.version();
        }

        @Override
        Optional<Row> result(Operation operation, Optional<Row> standing) {
            Row old = standing.orElseThrow();
            return Optional.of(new Row(old.key(), old.version() + 1, operation.value(), old.insertedNanos()));
        }
    },
    /** Deletes a row that still has the value given. */
    DELETE_IF_VALUE("delete-if-value") {
        @Override
        boolean holds(Operation operation, Optional<Row> standing) {
            return standing.isPresent() && standing.get().value().equals(operation.value());
        }

        @Override
        Optional<Row> result(Operation operation, Optional<Row> standing) {
            return Optional.empty();
        }
    },
    /** Changes nothing, but asks that a row have the version given; 0 asks that there be none. */
    CHECK_VERSION("check-version") {
        @Override
        boolean holds(Operation operation, Optional<Row> standing) {
            return standing.map(Row::version).orElse(0L) == operation.version();
        }

        @Override
        Optional<Row> result(Operation operation, Optional<Row> standing) {
            return standing;
        }
    };

    private final String word;

    OperationType(String word) {
        this.word = word;
    }

    /** Returns whether the operation's condition holds for the row that stands. */
    abstract boolean holds(Operation operation, Optional<Row> standing);

    /** Returns the row that the operation leaves, nothing where it deletes. */
    abstract Optional<Row> result(Operation operation, Optional<Row> standing);

    static OperationType of(String word) {
        for (OperationType type : values()) {
            if (type.word.equals(word)) {
                return type;
            }
        }
        throw new IllegalArgumentException("'" + word + "' is no operation");
    }
}
