package org.tarragonarch.entry.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.tarragonarch.core.action.LoadConfiguration;
import org.tarragonarch.core.action.ReadClaims;
import org.tarragonarch.core.action.ReadConfigurationRow;
import org.tarragonarch.core.action.ReadVmList;
import org.tarragonarch.core.action.ReleaseClaim;
import org.tarragonarch.core.action.SweepClaims;
import org.tarragonarch.core.action.WriteClaims;
import org.tarragonarch.core.event.ClaimResult;
import org.tarragonarch.core.event.ClaimsRead;
import org.tarragonarch.core.event.ClaimsUncertain;
import org.tarragonarch.core.event.ClaimsWritten;
import org.tarragonarch.core.event.ConfigurationRowRead;
import org.tarragonarch.core.event.Event;
import org.tarragonarch.core.event.PlatformFailed;
import org.tarragonarch.core.event.PlatformPart;
import org.tarragonarch.core.event.VmListRead;
import org.tarragonarch.entry.control.EventSink;
import org.tarragonarch.entry.log.LogLine;
import org.tarragonarch.entry.metrics.NodeMetrics;
import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.platform.Claim;
import org.tarragonarch.platform.ClaimStore;
import org.tarragonarch.platform.ConfigurationStore;
import org.tarragonarch.platform.PlatformException;
import org.tarragonarch.platform.VmListService;

/**
 * Makes the platform calls that the core requests, on its own threads, and posts their results as events.
 *
 * <p>Claims and reads have separate thread pools ("lanes"), so that a slow VM list does not delay callers who wait for
 * their claims. Both lanes are bounded; a call to a full lane fails at once, like a call to an unavailable platform.
 * Releasing and sweeping claims post no event.
 */
public final class PlatformShell implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int THREADS_PER_LANE = 4;
    private static final int MAX_QUEUED_PER_LANE = 256;
    private static final String OBJECT_STORE = "object store";

    private final ClaimStore claims;
    private final ConfigurationStore configurations;
    private final VmListService vmList;
    private final ConfigurationLoader loader;
    private final EventSink events;
    private final NodeMetrics metrics;
    private final ExecutorService claimLane = lane("platform-claims-%d");
    private final ExecutorService readLane = lane("platform-reads-%d");

    private PlatformShell(
            ClaimStore claims,
            ConfigurationStore configurations,
            VmListService vmList,
            ConfigurationLoader loader,
            EventSink events,
            NodeMetrics metrics) {
        this.claims = checkNotNull(claims, "claims");
        this.configurations = checkNotNull(configurations, "configurations");
        this.vmList = checkNotNull(vmList, "vmList");
        this.loader = checkNotNull(loader, "loader");
        this.events = checkNotNull(events, "events");
        this.metrics = checkNotNull(metrics, "metrics");
    }

    /** Creates a shell over the three services of the platform, without calling them. */
    public static PlatformShell create(
            ClaimStore claims,
            ConfigurationStore configurations,
            VmListService vmList,
            ConfigurationLoader loader,
            EventSink events,
            NodeMetrics metrics) {
        return new PlatformShell(claims, configurations, vmList, loader, events, metrics);
    }

    /** Inserts the claims of a batch that have no stored claim yet. */
    public void writeClaims(WriteClaims action) {
        call(
                claimLane,
                "write-claims",
                () -> claims.insertIfAbsent(action.claims()),
                stored -> new ClaimsWritten(action.batch(), results(action.claims(), stored)),
                failure -> new ClaimsUncertain(action.batch(), failure.mayHaveApplied(), failure.getMessage()));
    }

    /** Reads the stored claims for the keys of a batch. */
    public void readClaims(ReadClaims action) {
        ImmutableList<ClaimKey> keys =
                action.claims().stream().map(Claim::key).collect(ImmutableList.toImmutableList());
        call(
                claimLane,
                "read-claims",
                () -> claims.read(keys),
                stored -> new ClaimsRead(action.batch(), results(action.claims(), stored)),
                failure -> new ClaimsUncertain(action.batch(), failure.mayHaveApplied(), failure.getMessage()));
    }

    /** Deletes a claim on a best-effort basis; the sweep deletes it later if this fails. */
    public void releaseClaim(ReleaseClaim action) {
        run(
                claimLane,
                "release-claim",
                () -> {
                    claims.release(action.claim());
                    return action.claim();
                },
                released -> {},
                failure -> {});
    }

    /** Deletes old claims on a best-effort basis; other nodes sweep too. */
    public void sweepClaims(SweepClaims action) {
        run(claimLane, "sweep-claims", () -> claims.sweep(action.olderThan()), deleted -> {}, failure -> {});
    }

    /** Reads the VM list. */
    public void readVmList(ReadVmList action) {
        call(
                readLane,
                "read-vm-list",
                vmList::list,
                VmListRead::new,
                failure -> new PlatformFailed(PlatformPart.VM_LIST, failure.getMessage()));
    }

    /** Reads the row that names the newest configuration. */
    public void readConfigurationRow(ReadConfigurationRow action) {
        call(
                readLane,
                "read-configuration-row",
                configurations::readRow,
                ConfigurationRowRead::new,
                failure -> new PlatformFailed(PlatformPart.CONFIGURATION_ROW, failure.getMessage()));
    }

    /** Loads a configuration from the object store by its digest. */
    public void loadConfiguration(LoadConfiguration action) {
        if (action.digest().isEmpty()) {
            events.post(
                    loader.loadFailed(action.version(), OBJECT_STORE, "the digest of the configuration is unknown"));
            return;
        }
        call(
                readLane,
                "load-configuration",
                () -> configurations.load(action.digest().get()),
                text -> loader.load(action.version(), action.digest(), text, OBJECT_STORE),
                failure -> loader.loadFailed(action.version(), OBJECT_STORE, failure.getMessage()));
    }

    /** Stops the threads and interrupts running calls. */
    @Override
    public void close() {
        claimLane.shutdownNow();
        readLane.shutdownNow();
    }

    private <T> void call(
            ExecutorService lane,
            String name,
            PlatformCall<T> call,
            Function<T, Event> done,
            Function<PlatformException, Event> failed) {
        run(lane, name, call, result -> events.post(done.apply(result)), failure -> events.post(failed.apply(failure)));
    }

    private <T> void run(
            ExecutorService lane,
            String name,
            PlatformCall<T> call,
            Consumer<T> done,
            Consumer<PlatformException> failed) {
        try {
            lane.execute(() -> attempt(name, call, done, failed));
        } catch (RejectedExecutionException e) {
            failed.accept(new PlatformException("platform", "too many platform calls are queued", false, e));
        }
    }

    private <T> void attempt(String name, PlatformCall<T> call, Consumer<T> done, Consumer<PlatformException> failed) {
        long start = System.nanoTime();
        T result;
        try {
            result = call.call();
        } catch (PlatformException e) {
            recordCall(name, start, e);
            failed.accept(e);
            return;
        } catch (RuntimeException e) {
            // An unchecked exception of the client leaves open whether the platform applied the call.
            PlatformException unknown =
                    new PlatformException("platform", "the call failed unexpectedly: " + e, true, e);
            recordCall(name, start, unknown);
            failed.accept(unknown);
            return;
        }
        recordCall(name, start, null);
        done.accept(result);
    }

    private void recordCall(String name, long start, PlatformException failure) {
        metrics.recordPlatformCall(name, failure != null, Duration.ofNanos(System.nanoTime() - start));
        if (failure != null) {
            LOG.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "%s",
                    LogLine.of("platform-call-failed", Step.PLATFORM, failure.peer())
                            .with("call", name)
                            .with("may-have-applied", failure.mayHaveApplied())
                            .with("detail", failure.getMessage()));
        }
    }

    private static ImmutableList<ClaimResult> results(
            ImmutableList<Claim> wanted, ImmutableMap<ClaimKey, Claim> stored) {
        return wanted.stream()
                .map(claim -> new ClaimResult(claim, Optional.ofNullable(stored.get(claim.key()))))
                .collect(ImmutableList.toImmutableList());
    }

    private static ExecutorService lane(String threadName) {
        ThreadPoolExecutor lane = new ThreadPoolExecutor(
                THREADS_PER_LANE,
                THREADS_PER_LANE,
                1,
                TimeUnit.MINUTES,
                new ArrayBlockingQueue<>(MAX_QUEUED_PER_LANE),
                new ThreadFactoryBuilder()
                        .setNameFormat(threadName)
                        .setDaemon(true)
                        .build());
        lane.allowCoreThreadTimeOut(true);
        return lane;
    }
}
