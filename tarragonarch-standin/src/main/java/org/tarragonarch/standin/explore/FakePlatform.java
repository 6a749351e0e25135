package org.tarragonarch.standin.explore;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.tarragonarch.core.event.ClaimResult;
import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.platform.Claim;
import org.tarragonarch.model.platform.ConfigurationRow;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.service.ServiceCatalog;

/** An in-memory fake of the platform's table service, object store and VM list, with switchable faults. */
public final class FakePlatform {
    private static final long MIN_WRITE_NANOS = 2_000_000;
    private static final int WRITE_SPREAD_NANOS = 6_000_000;
    private static final int LATE_WRITE_SPREAD_NANOS = 2_000_000_000;
    private static final long TIMEOUT_NANOS = 500_000_000;

    private final VirtualTime time;
    private final Random random;
    private final Map<ClaimKey, Claim> claims = new HashMap<>();
    private final Map<ConfigurationVersion, ServiceCatalog> objects = new HashMap<>();
    private final Map<String, VmRecord> vms = new LinkedHashMap<>();
    private final List<ConfigurationRow> rows = new ArrayList<>();
    private boolean out;
    private double replyLostShare;
    private double staleReadShare;
    private long listLagNanos;
    private long listVisibleNanos;

    FakePlatform(VirtualTime time, Random random) {
        this.time = time;
        this.random = random;
    }

    /** Sets whether the whole platform is out of service. */
    public void setOut(boolean newOut) {
        out = newOut;
    }

    /** Sets the share of writes that take effect, on time or late, although their reply is lost. */
    public void setReplyLostShare(double share) {
        replyLostShare = share;
    }

    /** Sets the share of reads of the configuration row that return an older row. */
    public void setStaleReadShare(double share) {
        staleReadShare = share;
    }

    /** Sets the delay in nanoseconds until a change of the VM list is visible. */
    public void setListLag(long nanos) {
        listLagNanos = nanos;
    }

    /** Adds or replaces a VM in the list; the change becomes visible after the lag. */
    public void listVm(VmRecord vm) {
        changeList(() -> vms.put(vm.name(), vm));
    }

    /** Removes a VM from the list; the change becomes visible after the lag. */
    public void unlistVm(String name) {
        changeList(() -> vms.remove(name));
    }

    // The list lags but never reverts: changes become visible in the order in which they were made.
    private void changeList(Runnable change) {
        listVisibleNanos = Math.max(listVisibleNanos, time.nowNanos() + listLagNanos);
        time.scheduleAt(listVisibleNanos, change);
    }

    /** Stores a configuration and makes its row the newest. */
    public void acceptConfiguration(ConfigurationRow row, ServiceCatalog catalog) {
        rows.add(row);
        objects.put(catalog.version(), catalog);
    }

    /** Returns the version of the newest row. */
    public ConfigurationVersion newestVersion() {
        return rows.isEmpty()
                ? ConfigurationVersion.NONE
                : rows.get(rows.size() - 1).version();
    }

    boolean isOut() {
        return out;
    }

    long timeoutNanos() {
        return TIMEOUT_NANOS;
    }

    ImmutableList<VmRecord> vms() {
        return ImmutableList.copyOf(vms.values());
    }

    Optional<ConfigurationRow> configurationRow() {
        if (rows.isEmpty()) {
            return Optional.empty();
        }
        boolean stale = random.nextDouble() < staleReadShare;
        return Optional.of(rows.get(stale ? random.nextInt(rows.size()) : rows.size() - 1));
    }

    Optional<ServiceCatalog> findCatalog(ConfigurationVersion version) {
        return Optional.ofNullable(objects.get(version));
    }

    /** Writes claims whose keys are absent; {@code done} receives an empty value if the reply is lost. */
    void insertIfAbsent(List<Claim> wanted, Consumer<Optional<ImmutableList<ClaimResult>>> done) {
        boolean lost = random.nextDouble() < replyLostShare;
        long delay = MIN_WRITE_NANOS + random.nextInt(WRITE_SPREAD_NANOS);
        if (lost && random.nextBoolean()) {
            // The write is delayed and takes effect after its sender has timed out.
            delay = TIMEOUT_NANOS + random.nextInt(LATE_WRITE_SPREAD_NANOS);
        }
        time.scheduleAfter(delay, () -> {
            wanted.forEach(claim -> claims.putIfAbsent(claim.key(), claim));
            if (!lost) {
                done.accept(Optional.of(currentClaims(wanted)));
            }
        });
        if (lost) {
            time.scheduleAfter(TIMEOUT_NANOS, () -> done.accept(Optional.empty()));
        }
    }

    ImmutableList<ClaimResult> currentClaims(List<Claim> wanted) {
        return wanted.stream()
                .map(claim -> new ClaimResult(claim, Optional.ofNullable(claims.get(claim.key()))))
                .collect(ImmutableList.toImmutableList());
    }

    void releaseClaim(Claim claim) {
        Claim current = claims.get(claim.key());
        if (current != null && current.token().equals(claim.token())) {
            claims.remove(claim.key());
        }
    }
}
