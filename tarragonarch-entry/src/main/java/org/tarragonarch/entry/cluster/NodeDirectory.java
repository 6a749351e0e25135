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
 * The directory of nodes in the store: writes the row of this node, then reads the rows of the others.
 *
 * <p>Of two nodes that start together, the one that writes later reads the other's row and connects to it, which makes
 * it known there. One write and one read after it are therefore enough. An additional read before the write finds
 * running nodes about 50 ms earlier, which matters when all nodes start at once. If the store is unavailable, peers
 * report the nodes that they know.
 */
final class NodeDirectory {
    private static final long RETRY_MILLIS = 250;

    /** Separates the parts of a row's value: address, capacity in thousandths of a core, failure domain. */
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
                timers.schedule(RETRY_MILLIS, this::writeOwn);
            }
        });
    }

    /** Returns whether the addresses of the other nodes are known, from the store or from a peer. */
    boolean isComplete() {
        return isComplete;
    }

    /** Returns when the directory became complete; valid only if {@link #isComplete}. */
    long completeAtMillis() {
        return completeAtMillis;
    }

    /**
     * Adds the nodes that a peer reported.
     *
     * <p>Guards against two nodes of a domain that start while the store is unavailable: running nodes locate both, but
     * neither locates the other, and both claim the shard of the domain.
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
                    timers.schedule(RETRY_MILLIS, this::readAll);
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
     * Rereads the rows, if the directory is complete.
     *
     * <p>A holder sends its status to every node. Nodes that started later make themselves known to their neighbours
     * only, so holders of other pools learn of them by this read.
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
     * Parses a row.
     *
     * @throws IllegalArgumentException if a part is missing or malformed
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
