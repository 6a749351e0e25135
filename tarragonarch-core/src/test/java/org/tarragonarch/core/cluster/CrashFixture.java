package org.tarragonarch.core.cluster;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ListMultimap;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.tarragonarch.core.placing.FakeEndpoint;
import org.tarragonarch.core.placing.FakeOrders;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.TaskName;
import org.tarragonarch.model.task.TaskRun;

/** A cluster whose endpoints crash, at random or because of what they run. */
final class CrashFixture {
    private static final long FIRST_START_MILLIS = 1_700_000_000_000L;

    /** The longest time from the start of an endpoint until all nodes have read its entry, in milliseconds. */
    private static final int LISTED_WITHIN_MILLIS = 2_400;

    /** The shortest time until the entry of a crashed endpoint is removed, which is three heartbeats after its last. */
    private static final int REMOVED_AFTER_MILLIS = 3_000;

    private static final int SHORTEST_RUN_MILLIS = 100;
    private static final int LONGEST_RUN_MILLIS = 900;

    final FaultFixture faults;
    final RunHistory history;
    final Random random;
    private final Random runs;
    private final long runSeed;
    private final boolean reportsStarts;
    private final ImmutableList<CrashSite> sites;
    private final Map<TaskName, TaskConduct> conducts = new HashMap<>();
    private final ListMultimap<JobId, Long> offersMillis = ArrayListMultimap.create();

    /**
     * Starts nodes and endpoints, which run tasks as sound until told otherwise.
     *
     * @param reportsStarts whether endpoints tell their start times from the beginning
     * @param seed decides what is drawn
     */
    CrashFixture(boolean reportsStarts, long seed) {
        this.faults = new FaultFixture(ClusterLayout.POOLED, SteadyClock.GOES_ON, seed);
        this.random = faults.random;
        this.runSeed = random.nextLong();
        this.runs = new Random(runSeed);
        this.reportsStarts = reportsStarts;
        this.history = new RunHistory(faults.timers(), this::started, faults::log);
        faults.cluster.ledger.setRunObserver(history);
        faults.cluster.connections.offerObserver =
                offer -> recordOffer(offer.job().id());
        this.sites = faults.cluster.listedEndpoints().stream()
                .sorted((one, other) -> one.id().value().compareTo(other.id().value()))
                .map(entry -> new CrashSite(entry, faults.endpoint(entry.id())))
                .collect(ImmutableList.toImmutableList());
        sites.forEach(site -> prepare(site.endpoint()));
        sites.forEach(this::list);
    }

    private void prepare(FakeEndpoint endpoint) {
        endpoint.setRuns(this::runMillis, run -> conduct(run.task()).end(runs));
        if (reportsStarts) {
            endpoint.reportStart(FIRST_START_MILLIS + faults.timers().nowMillis());
        }
    }

    private long runMillis(TaskRun run) {
        long drawn = new Random(runSeed ^ run.hashCode()).nextInt(LONGEST_RUN_MILLIS - SHORTEST_RUN_MILLIS);
        return SHORTEST_RUN_MILLIS + drawn;
    }

    /** Sets the conduct of a task, which is sound otherwise. */
    void setConduct(TaskName task, TaskConduct conduct) {
        conducts.put(task, conduct);
    }

    TaskConduct conduct(TaskName task) {
        return conducts.getOrDefault(task, TaskConduct.SOUND);
    }

    /** Records that a job is offered to a holder now. */
    void recordOffer(JobId job) {
        offersMillis.put(job, faults.timers().nowMillis());
    }

    /** Returns when a job was offered last until then. */
    long lastOfferMillis(JobId job, long untilMillis) {
        return offersMillis.get(job).stream()
                .filter(millis -> millis <= untilMillis)
                .mapToLong(Long::longValue)
                .max()
                .orElseThrow();
    }

    private void started(TaskRun run, FakeEndpoint at) {
        if (conduct(run.task()) == TaskConduct.CRASHES_ENDPOINTS) {
            faults.timers().schedule(10 + runs.nextInt(SHORTEST_RUN_MILLIS - 10), () -> {
                if (at.runs().contains(run)) {
                    sites.stream()
                            .filter(site -> site.endpoint() == at)
                            .findFirst()
                            .ifPresent(site -> faults.log(run + " crashes " + crash(site, runs)));
                }
            });
        }
    }

    CrashSite drawSite() {
        return sites.get(random.nextInt(sites.size()));
    }

    /** Crashes an endpoint that starts again under its id or another one, perhaps unreachable for some time. */
    String crash(CrashSite site, Random by) {
        return crash(site, by, by.nextInt(4) == 0 ? 0 : 50 + by.nextInt(by.nextBoolean() ? 600 : 2_400));
    }

    /** Crashes an endpoint, which breaks the connections of the calls that wait there. */
    private String crash(CrashSite site, Random by, long downMillis) {
        boolean keepsId = by.nextBoolean();
        String crashed = site.id().value();
        cutOff(site.id(), downMillis);
        if (keepsId) {
            restart(site);
        } else {
            replace(site, by);
        }
        cutOff(site.id(), downMillis);
        faults.timers().schedule(downMillis + by.nextInt(LISTED_WITHIN_MILLIS), () -> list(site));
        return crashed + ", as " + site.id() + " after " + downMillis;
    }

    /** Cuts an endpoint off, which crashes and starts again before it is reachable. */
    String crashBehindCut(CrashSite site) {
        long millis = faults.drawMillis(200, 3_000);
        cutOff(site.id(), millis);
        long crashMillis = random.nextInt((int) millis);
        faults.timers()
                .schedule(
                        crashMillis, () -> faults.log("crash behind cut " + crash(site, random, millis - crashMillis)));
        return site.id() + " for " + millis;
    }

    private void restart(CrashSite site) {
        if (reportsStarts) {
            site.endpoint().restart();
        } else {
            site.endpoint().restartWithSameStart();
        }
    }

    private void replace(CrashSite site, Random by) {
        EndpointEntry before = site.entry();
        site.endpoint().crash();
        FakeEndpoint successor = faults.addUnlistedEndpoint(site.nextId());
        prepare(successor);
        site.replace(successor);
        faults.timers().schedule(REMOVED_AFTER_MILLIS + by.nextInt(LISTED_WITHIN_MILLIS), () -> {
            faults.cluster.unlist(before.id());
            faults.endpointsChanged();
        });
    }

    /** Lets all nodes read the entry of the present incarnation. */
    private void list(CrashSite site) {
        faults.cluster.list(site.entry());
        faults.endpointsChanged();
    }

    /** Makes an endpoint unreachable for all nodes. */
    void cutOff(EndpointId id, long millis) {
        setFault(id, FakeOrders.Fault.LOST, millis);
    }

    /** Makes all calls to an endpoint fail for some time. */
    void setFault(EndpointId id, FakeOrders.Fault fault, long millis) {
        faults.cluster.orders.setFault(id, fault);
        faults.timers().schedule(millis, () -> faults.cluster.orders.setFault(id, FakeOrders.Fault.NONE));
    }

    /** Makes the endpoint report its start time from now on, if it has not done so. */
    String reportStart(CrashSite site) {
        if (site.endpoint().startedMillis() != 0) {
            return "none";
        }
        site.endpoint().reportStart(FIRST_START_MILLIS + faults.timers().nowMillis());
        faults.timers().schedule(random.nextInt(LISTED_WITHIN_MILLIS), () -> list(site));
        return site.id().value();
    }

    /** Returns how many endpoints have crashed under a task until then. */
    long crashesUnder(TaskName task, long untilMillis) {
        return history.countEnded(task, EndKind.CRASHED, untilMillis);
    }
}
