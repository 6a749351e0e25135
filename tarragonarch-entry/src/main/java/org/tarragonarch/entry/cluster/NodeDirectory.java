package org.tarragonarch.entry.cluster;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.store.RowStore;
import org.tarragonarch.model.store.StoreResult;
import org.tarragonarch.model.store.StoreRow;
import org.tarragonarch.model.store.StoreTable;
import org.tarragonarch.model.task.Timers;

/**
 * Finds the other nodes: writes where this one is, then reads where the others are.
 *
 * <p>Of two nodes that start together, the one that writes later reads the other's row, calls it, and is known to it
 * from then on. So one write and one read after it are enough; a read before it finds those that were there all along
 * some 50 ms earlier, which counts when every node starts at once. Where the store is away, whoever else is heard tells
 * where the others are.
 */
final class NodeDirectory {
    private static final long RETRY_MILLIS = 250;

    /** Separates the parts of a row's value: address, processor time in thousandths of a core, failure domain. */
    private static final char SEPARATOR = ' ';

    private static final int PART_COUNT = 3;

    private final RowStore store;
    private final Timers timers;
    private final Member own;
    private final Consumer<Member> located;
    private final DecisionLog log;
    private boolean written;
    private boolean isComplete;
    private long completeAtMillis;

    NodeDirectory(RowStore store, Timers timers, Member own, Consumer<Member> located, DecisionLog log) {
        this.store = store;
        this.timers = timers;
        this.own = own;
        this.located = located;
        this.log = log;
    }

    void start() {
        readAll();
        writeOwn();
    }

    private void writeOwn() {
        store.put(StoreTable.NODES, own.node().value(), row(own), reply -> {
            if (reply.result() == StoreResult.DONE) {
                written = true;
                readAll();
            } else {
                timers.after(RETRY_MILLIS, this::writeOwn);
            }
        });
    }

    /** Returns whether it is known where the others are. */
    boolean isComplete() {
        return isComplete;
    }

    /** Returns since when that is known; meaningful once it is. */
    long completeAtMillis() {
        return completeAtMillis;
    }

    /**
     * Records where a peer knows nodes to be.
     *
     * <p>Guards against two nodes of a domain that start while the store is away: each is found by those that run, none
     * finds the other, and both hold the domain's endpoints against each other.
     */
    void addNodes(ImmutableList<Member> nodes) {
        nodes.forEach(this::locate);
        markComplete();
    }

    private void markComplete() {
        if (!isComplete) {
            isComplete = true;
            completeAtMillis = timers.nowMillis();
        }
    }

    private void readAll() {
        boolean afterWrite = written;
        store.read(StoreTable.NODES, reply -> {
            if (reply.result() != StoreResult.DONE) {
                if (afterWrite) {
                    timers.after(RETRY_MILLIS, this::readAll);
                }
                return;
            }
            if (afterWrite) {
                markComplete();
            }
            reply.page().orElseThrow().rows().forEach(this::locate);
        });
    }

    /**
     * Reads the rows once more.
     *
     * <p>A holder sends to every node. Those that started after it are known to their neighbours and, by this, to the
     * holders of other pools.
     */
    void refresh() {
        if (isComplete) {
            store.read(
                    StoreTable.NODES,
                    reply -> reply.page().ifPresent(page -> page.rows().forEach(this::locate)));
        }
    }

    private void locate(StoreRow row) {
        try {
            locate(member(row));
        } catch (IllegalArgumentException e) {
            log.write(NodeEvent.NODE_ROW_UNREADABLE, "key", row.key(), "reason", e.getMessage());
        }
    }

    private void locate(Member member) {
        if (!member.node().equals(own.node())) {
            located.accept(member);
        }
    }

    private static byte[] row(Member member) {
        String text = Joiner.on(SEPARATOR).join(member.address(), member.milliCores(), member.domain());
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Reads a row.
     *
     * @throws IllegalArgumentException if a part is missing or cannot be read
     */
    private static Member member(StoreRow row) {
        String text = new String(row.value(), StandardCharsets.UTF_8);
        List<String> parts = Splitter.on(SEPARATOR).limit(PART_COUNT).splitToList(text);
        checkArgument(parts.size() == PART_COUNT, "'%s' does not have %s parts", text, PART_COUNT);
        Address address = Address.parse(parts.get(0));
        int milliCores = Integer.parseInt(parts.get(1));
        return new Member(NodeId.of(row.key()), FailureDomain.of(parts.get(2)), address, milliCores);
    }
}
