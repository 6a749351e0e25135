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
 * Calls the platform for the core, on threads of its own, and reports one event for each call.
 *
 * <p>Claims and reads have threads apart, so that a slow list of VMs does not hold up the claims of callers who wait.
 * Both lanes are bounded: a call that finds its lane full fails at once, as a call to a platform that is out does.
 */
public final class PlatformShell implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int THREADS_OF_LANE = 4;
    private static final int QUEUE_OF_LANE = 256;
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

    /** Returns a shell over the three parts of the platform; no call is made yet. */
    public static PlatformShell create(
            ClaimStore claims,
            ConfigurationStore configurations,
            VmListService vmList,
            ConfigurationLoader loader,
            EventSink events,
            NodeMetrics metrics) {
        return new PlatformShell(claims, configurations, vmList, loader, events, metrics);
    }

    /** Inserts a batch of claims. */
    public void writeClaims(WriteClaims action) {
        call(
                claimLane,
                "write-claims",
                () -> claims.insertIfAbsent(action.claims()),
                standing -> new ClaimsWritten(action.batch(), results(action.claims(), standing)),
                failure -> new ClaimsUncertain(action.batch(), failure.mayHaveApplied(), failure.getMessage()));
    }

    /** Reads back a batch of claims. */
    public void readClaims(ReadClaims action) {
        ImmutableList<ClaimKey> keys =
                action.claims().stream().map(Claim::key).collect(ImmutableList.toImmutableList());
        call(
                claimLane,
                "read-claims",
                () -> claims.read(keys),
                standing -> new ClaimsRead(action.batch(), results(action.claims(), standing)),
                failure -> new ClaimsUncertain(action.batch(), failure.mayHaveApplied(), failure.getMessage()));
    }

    /** Deletes a claim, if that can be done now; what stays is swept later. */
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

    /** Deletes old claims, if that can be done now; another node sweeps too. */
    public void sweepClaims(SweepClaims action) {
        run(claimLane, "sweep-claims", () -> claims.sweep(action.olderThan()), swept -> {}, failure -> {});
    }

    /** Reads the list of VMs. */
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
                configurations::row,
                ConfigurationRowRead::new,
                failure -> new PlatformFailed(PlatformPart.CONFIGURATION_ROW, failure.getMessage()));
    }

    /** Loads a configuration from the object store, where its digest names it. */
    public void loadConfiguration(LoadConfiguration action) {
        if (action.digest().isEmpty()) {
            events.post(loader.loadFailed(action.version(), OBJECT_STORE, "no digest is known to load it by"));
            return;
        }
        call(
                readLane,
                "load-configuration",
                () -> configurations.load(action.digest().get()),
                text -> loader.load(action.version(), action.digest(), text, OBJECT_STORE),
                failure -> loader.loadFailed(action.version(), OBJECT_STORE, failure.getMessage()));
    }

    /** Ends the threads; calls under way are broken off. */
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
            failed.accept(new PlatformException("platform", "too many calls wait for the platform", false, e));
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
            // A fault of the client says nothing of what the platform did.
            PlatformException unknown = new PlatformException("platform", "the call broke: " + e, true, e);
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
            ImmutableList<Claim> wanted, ImmutableMap<ClaimKey, Claim> standing) {
        return wanted.stream()
                .map(claim -> new ClaimResult(claim, Optional.ofNullable(standing.get(claim.key()))))
                .collect(ImmutableList.toImmutableList());
    }

    private static ExecutorService lane(String threadName) {
        ThreadPoolExecutor lane = new ThreadPoolExecutor(
                THREADS_OF_LANE,
                THREADS_OF_LANE,
                1,
                TimeUnit.MINUTES,
                new ArrayBlockingQueue<>(QUEUE_OF_LANE),
                new ThreadFactoryBuilder()
                        .setNameFormat(threadName)
                        .setDaemon(true)
                        .build());
        lane.allowCoreThreadTimeOut(true);
        return lane;
    }
}
