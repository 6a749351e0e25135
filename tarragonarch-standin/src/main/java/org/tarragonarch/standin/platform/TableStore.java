package org.tarragonarch.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** In-memory tables; every call is one transaction. */
final class TableStore {
    private final Map<String, NavigableMap<String, Row>> tables = new HashMap<>();

    synchronized Optional<Row> read(String table, String key) {
        return Optional.ofNullable(table(table).get(key));
    }

    /** Returns the rows from one key, inclusive, to another, exclusive; an empty bound does not limit the range. */
    synchronized ImmutableList<Row> scan(
            String table, Optional<String> from, Optional<String> to, boolean descending, int limit) {
        NavigableMap<String, Row> range = table(table);
        if (from.isPresent()) {
            range = range.tailMap(from.get(), true);
        }
        if (to.isPresent()) {
            range = range.headMap(to.get(), false);
        }
        return (descending ? range.descendingMap() : range)
                .values().stream().limit(limit).collect(ImmutableList.toImmutableList());
    }

    /** Inserts a row if its key is absent; returns the row now stored and whether it was inserted. */
    synchronized Inserted insertIfAbsent(String table, String key, JsonNode value) {
        Row row = new Row(key, 1, value, System.nanoTime());
        Row current = table(table).putIfAbsent(key, row);
        return current == null ? new Inserted(true, row) : new Inserted(false, current);
    }

    /** Applies all operations, or none and returns the first operation whose condition does not hold. */
    synchronized Optional<Failure> transact(List<Operation> operations) {
        List<Runnable> changes = new ArrayList<>();
        for (int i = 0; i < operations.size(); i++) {
            Operation operation = operations.get(i);
            Optional<Row> current = read(operation.table(), operation.key());
            if (!operation.type().holds(operation, current)) {
                return Optional.of(new Failure(i, current));
            }
            changes.add(() -> operation
                    .type()
                    .result(operation, current)
                    .ifPresentOrElse(
                            row -> table(operation.table()).put(operation.key(), row),
                            () -> table(operation.table()).remove(operation.key())));
        }
        changes.forEach(Runnable::run);
        return Optional.empty();
    }

    synchronized int deleteOlder(String table, long milliseconds) {
        long now = System.nanoTime();
        long age = TimeUnit.MILLISECONDS.toNanos(milliseconds);
        int before = table(table).size();
        table(table).values().removeIf(row -> now - row.insertedNanos() > age);
        return before - table(table).size();
    }

    private NavigableMap<String, Row> table(String name) {
        return tables.computeIfAbsent(name, key -> new TreeMap<>());
    }

    /** The result of an insertion: whether the row was inserted, and the row now stored. */
    record Inserted(boolean inserted, Row row) {}

    /** The index of the first operation whose condition did not hold, and the current row of its key. */
    record Failure(int index, Optional<Row> currentRow) {}
}
