package org.tarragonarch.standin.platform;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmState;

/** The VMs, and the list of them that clients see, which may lag or be frozen. */
final class VmTable {
    private static final int MAX_HISTORY = 10_000;

    private final Map<String, VmRecord> vms = new TreeMap<>();
    private final Deque<Snapshot> history = new ArrayDeque<>();
    private long lagNanos;
    private Optional<ImmutableList<VmRecord>> frozen = Optional.empty();

    synchronized void put(VmRecord vm) {
        vms.put(vm.name(), vm);
        saveSnapshot();
    }

    synchronized boolean remove(String name) {
        boolean known = vms.remove(name) != null;
        saveSnapshot();
        return known;
    }

    synchronized boolean markLeaving(String name) {
        VmRecord vm = vms.get(name);
        if (vm == null) {
            return false;
        }
        put(new VmRecord(vm.name(), vm.role(), vm.domain(), vm.address(), VmState.LEAVING, vm.services(), vm.slots()));
        return true;
    }

    /** Returns the list as it was one lag ago, or when it was frozen. */
    synchronized ImmutableList<VmRecord> list() {
        if (frozen.isPresent()) {
            return frozen.get();
        }
        if (lagNanos == 0) {
            return ImmutableList.copyOf(vms.values());
        }
        long time = System.nanoTime() - lagNanos;
        for (Iterator<Snapshot> newestFirst = history.descendingIterator(); newestFirst.hasNext(); ) {
            Snapshot snapshot = newestFirst.next();
            if (snapshot.nanos() - time <= 0) {
                return snapshot.vms();
            }
        }
        return ImmutableList.of();
    }

    synchronized void setLag(long milliseconds) {
        lagNanos = TimeUnit.MILLISECONDS.toNanos(milliseconds);
    }

    synchronized void freeze() {
        frozen = Optional.of(list());
    }

    synchronized void clearFaults() {
        lagNanos = 0;
        frozen = Optional.empty();
    }

    private void saveSnapshot() {
        history.addLast(new Snapshot(System.nanoTime(), ImmutableList.copyOf(vms.values())));
        if (history.size() > MAX_HISTORY) {
            history.removeFirst();
        }
    }

    private record Snapshot(long nanos, ImmutableList<VmRecord> vms) {}
}
