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

/** The platform's table service, object store and VM list, in memory, with the faults that the brief names. */
public final class FakePlatform {
    private static final long LEAST_WRITE_NANOS = 2_000_000;
    private static final int WRITE_SPREAD_NANOS = 6_000_000;
    private static final int LATE_WRITE_SPREAD_NANOS = 2_000_000_000;
    private static final long TIMEOUT_NANOS = 500_000_000;

    private final VirtualTime time;
    private final Random random;
    private final Map<ClaimKey, Claim> claims = new HashMap<>();
    private final Map<ConfigurationVersion, ServiceCatalog> objects = new HashMap<>();
    private final Map<String, VmRecord> vms = new LinkedHashMap<>();
    private final List<ConfigurationRow> rows = new ArrayList<>();
    private boolean setOut;
    private double setReplyLostShare;
    private double setStaleReadShare;
    private long listLagNanos;
    private long listSeenNanos;

    FakePlatform(VirtualTime time, Random random) {
        this.time = time;
        this.random = random;
    }

    /** Takes the whole platform out, or brings it back. */
    public void setOut(boolean isOut) {
        setOut = isOut;
    }

    /** Sets the share of writes that take effect, soon or late, although their reply is lost. */
    public void setReplyLostShare(double share) {
        setReplyLostShare = share;
    }

    /** Sets the share of reads of the configuration row that give an older row. */
    public void setStaleReadShare(double share) {
        setStaleReadShare = share;
    }

    /** Sets how long a change of the VM list takes to be seen. */
    public void setListLag(long nanos) {
        listLagNanos = nanos;
    }

    /** Puts a VM on the list, or changes its line, once the lag is over. */
    public void listVm(VmRecord vm) {
        changeList(() -> vms.put(vm.name(), vm));
    }

    /** Takes a VM off the list, once the lag is over. */
    public void unlistVm(String name) {
        changeList(() -> vms.remove(name));
    }

    // The list lags but never goes back: changes are seen in the order in which they were made.
    private void changeList(Runnable change) {
        listSeenNanos = Math.max(listSeenNanos, time.nowNanos() + listLagNanos);
        time.scheduleAt(listSeenNanos, change);
    }

    /** Accepts a configuration. */
    public void acceptConfiguration(ConfigurationRow row, ServiceCatalog catalog) {
        rows.add(row);
        objects.put(catalog.version(), catalog);
    }

    /** Returns the version accepted last. */
    public ConfigurationVersion newestVersion() {
        return rows.isEmpty()
                ? ConfigurationVersion.NONE
                : rows.get(rows.size() - 1).version();
    }

    boolean isOut() {
        return setOut;
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
        boolean stale = random.nextDouble() < setStaleReadShare;
        return Optional.of(rows.get(stale ? random.nextInt(rows.size()) : rows.size() - 1));
    }

    Optional<ServiceCatalog> findCatalog(ConfigurationVersion version) {
        return Optional.ofNullable(objects.get(version));
    }

    /** Writes claims; {@code done} gets nothing where the reply is lost. */
    void insertIfAbsent(List<Claim> wanted, Consumer<Optional<ImmutableList<ClaimResult>>> done) {
        boolean lost = random.nextDouble() < setReplyLostShare;
        long applied = LEAST_WRITE_NANOS + random.nextInt(WRITE_SPREAD_NANOS);
        if (lost && random.nextBoolean()) {
            // The write is held up somewhere and takes effect after its sender has given up on it.
            applied = TIMEOUT_NANOS + random.nextInt(LATE_WRITE_SPREAD_NANOS);
        }
        time.scheduleAfter(applied, () -> {
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
        Claim standing = claims.get(claim.key());
        if (standing != null && standing.token().equals(claim.token())) {
            claims.remove(claim.key());
        }
    }
}
