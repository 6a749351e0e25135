package org.tarragonarch.ctl.output;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A table with named columns, printed as aligned text or as a JSON list of objects.
 *
 * <p>Columns of numbers are aligned to the right. Not thread-safe.
 */
public final class Table {
    private static final String GAP = "  ";

    private final ImmutableList<String> columns;
    private final List<ImmutableList<Object>> rows = new ArrayList<>();

    private Table(ImmutableList<String> columns) {
        this.columns = columns;
    }

    /** Returns an empty table; the column names are in lower case, with hyphens between words. */
    public static Table of(String... columns) {
        return new Table(ImmutableList.copyOf(columns));
    }

    /** Adds a row. Numbers and booleans keep their type in JSON; other cells are converted to strings. */
    public Table row(Object... cells) {
        checkArgument(cells.length == columns.size(), "%s cells for %s columns", cells.length, columns.size());
        rows.add(ImmutableList.copyOf(cells));
        return this;
    }

    /** Returns whether the table has no rows. */
    public boolean isEmpty() {
        return rows.isEmpty();
    }

    /** Returns the table as aligned lines, starting with the column headings. */
    public ImmutableList<String> lines() {
        ImmutableList.Builder<String> lines = ImmutableList.builder();
        lines.add(line(columns.stream().map(Table::heading).collect(ImmutableList.toImmutableList())));
        rows.forEach(row -> lines.add(line(row)));
        return lines.build();
    }

    /** Returns the rows as a list of objects whose keys are the column names. */
    public ArrayNode toJson() {
        ArrayNode list = JsonNodeFactory.instance.arrayNode();
        for (ImmutableList<Object> row : rows) {
            ObjectNode object = list.addObject();
            for (int i = 0; i < columns.size(); i++) {
                putCell(object, columns.get(i), row.get(i));
            }
        }
        return list;
    }

    private static void putCell(ObjectNode object, String column, Object cell) {
        if (cell instanceof Number number) {
            object.put(column, number.longValue());
        } else if (cell instanceof Boolean bool) {
            object.put(column, bool);
        } else {
            object.put(column, cell.toString());
        }
    }

    private String line(ImmutableList<?> cells) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < columns.size(); i++) {
            String cell = cells.get(i).toString();
            line.append(i == 0 ? "" : GAP);
            line.append(numeric(i) ? Strings.padStart(cell, width(i), ' ') : Strings.padEnd(cell, width(i), ' '));
        }
        return line.toString().stripTrailing();
    }

    private boolean numeric(int column) {
        return !rows.isEmpty() && rows.stream().allMatch(row -> row.get(column) instanceof Number);
    }

    private int width(int column) {
        int widestCell = rows.stream()
                .mapToInt(row -> row.get(column).toString().length())
                .max()
                .orElse(0);
        return Math.max(columns.get(column).length(), widestCell);
    }

    private static String heading(String column) {
        return column.toUpperCase(Locale.ROOT).replace('-', ' ');
    }
}
