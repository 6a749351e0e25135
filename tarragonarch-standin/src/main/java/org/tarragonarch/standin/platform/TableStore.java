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

/** Tables in memory; every call is one transaction. */
final class TableStore {
    private final Map<String, NavigableMap<String, Row>> tables = new HashMap<>();

    synchronized Optional<Row> read(String table, String key) {
        return Optional.ofNullable(table(table).get(key));
    }

    /** Returns rows of keys between two bounds, the first included and the second not; an absent bound is open. */
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

    /** Inserts the row if its key is absent and returns what stands there, and whether it is the new row. */
    synchronized Inserted insertIfAbsent(String table, String key, JsonNode value) {
        Row row = new Row(key, 1, value, System.nanoTime());
        Row standing = table(table).putIfAbsent(key, row);
        return standing == null ? new Inserted(true, row) : new Inserted(false, standing);
    }

    /** Applies all operations, or none if one's condition does not hold. */
    synchronized Optional<Failure> transact(List<Operation> operations) {
        List<Runnable> changes = new ArrayList<>();
        for (int i = 0; i < operations.size(); i++) {
            Operation operation = operations.get(i);
            Optional<Row> standing = read(operation.table(), operation.key());
            if (!operation.type().holds(operation, standing)) {
                return Optional.of(new Failure(i, standing));
            }
            changes.add(() -> operation
                    .type()
                    .result(operation, standing)
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
        return tables.computeIfAbsent(name, absent -> new TreeMap<>());
    }

    /** What an insertion led to. */
    record Inserted(boolean inserted, Row row) {}

    /** The first operation whose condition did not hold, and the row that stands there. */
    record Failure(int index, Optional<Row> currentRow) {}
}
