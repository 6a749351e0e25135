package org.tarragonarch.standin.platform;

import java.util.Optional;

/** The types of operation of a transaction; each has a condition on the current row and results in a new row. */
enum OperationType {
    /** Inserts a row if there is none. */
    INSERT_IF_ABSENT("insert-if-absent") {
        @Override
        boolean holds(Operation operation, Optional<Row> current) {
            return current.isEmpty();
        }

        @Override
        Optional<Row> result(Operation operation, Optional<Row> current) {
            return Optional.of(new Row(operation.key(), 1, operation.value(), System.nanoTime()));
        }
    },
    /** Replaces a row if it has the given version. */
    REPLACE_IF_VERSION("replace-if-version") {
        @Override
        boolean holds(Operation operation, Optional<Row> current) {
            return current.isPresent() && current.get().version() == operation.version();
        }

        @Override
        Optional<Row> result(Operation operation, Optional<Row> current) {
            Row old = current.orElseThrow();
            return Optional.of(new Row(old.key(), old.version() + 1, operation.value(), old.insertedNanos()));
        }
    },
    /** Deletes a row if it has the given value. */
    DELETE_IF_VALUE("delete-if-value") {
        @Override
        boolean holds(Operation operation, Optional<Row> current) {
            return current.isPresent() && current.get().value().equals(operation.value());
        }

        @Override
        Optional<Row> result(Operation operation, Optional<Row> current) {
            return Optional.empty();
        }
    },
    /** Changes nothing; requires that a row has the given version, or that there is no row for version 0. */
    CHECK_VERSION("check-version") {
        @Override
        boolean holds(Operation operation, Optional<Row> current) {
            return current.map(Row::version).orElse(0L) == operation.version();
        }

        @Override
        Optional<Row> result(Operation operation, Optional<Row> current) {
            return current;
        }
    };

    private final String word;

    OperationType(String word) {
        this.word = word;
    }

    /** Returns whether the operation's condition holds for the current row. */
    abstract boolean holds(Operation operation, Optional<Row> current);

    /** Returns the row that results from the operation, or an empty value if the row is deleted. */
    abstract Optional<Row> result(Operation operation, Optional<Row> current);

    static OperationType of(String word) {
        for (OperationType type : values()) {
            if (type.word.equals(word)) {
                return type;
            }
        }
        throw new IllegalArgumentException("'" + word + "' is not an operation");
    }
}
