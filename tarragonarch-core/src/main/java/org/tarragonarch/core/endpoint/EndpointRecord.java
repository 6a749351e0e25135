package org.tarragonarch.core.endpoint;

import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.core.placement.EndpointSlots;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmState;

/** What a node knows of one endpoint. */
final class EndpointRecord {
    static final long NEVER = Long.MAX_VALUE;

    private final EndpointId id;
    private final EndpointSlots slots;
    private final Backoff busyWait = new Backoff(HealthPolicy.FIRST_BUSY_NANOS, 2, HealthPolicy.LONGEST_BUSY_NANOS);
    private final Backoff unreachableWait = new Backoff(
            HealthPolicy.FIRST_UNREACHABLE_NANOS,
            HealthPolicy.UNREACHABLE_GROWTH,
            HealthPolicy.LONGEST_UNREACHABLE_NANOS);
    private final Backoff quarantineWait = new Backoff(
            HealthPolicy.FIRST_QUARANTINE_NANOS, HealthPolicy.QUARANTINE_GROWTH, HealthPolicy.LONGEST_QUARANTINE_NANOS);
    private final Map<FailureJudge.Kind, KindTally> tallies = new HashMap<>();

    private VmRecord vm;
    private boolean listed = true;
    private boolean drained;
    private boolean leaving;
    private boolean unreachable;
    private boolean convicted;
    private boolean onTrialAfterConviction;
    private long convictedUntilNanos;
    private int peersConvicting;
    private boolean outByPeers;
    private int trialsLeft;
    private double evidence;
    private long trustedSinceNanos;
    private long unreachableSinceNanos;
    private boolean fadedSinceRefusal = true;
    private long fadesNanos;
    private long fadeWaitNanos;
    private long wakeNanos = NEVER;
    private String why = "list";

    EndpointRecord(EndpointId id, VmRecord vm) {
        this.id = id;
        this.vm = vm;
        this.slots = EndpointSlots.create(id);
    }

    EndpointId id() {
        return id;
    }

    VmRecord vm() {
        return vm;
    }

    EndpointSlots slots() {
        return slots;
    }

    KindTally tally(FailureJudge.Kind kind) {
        return tallies.computeIfAbsent(kind, key -> new KindTally());
    }

    /** Records the list's line; another address means another machine, of which nothing is known yet. */
    void listed(VmRecord line) {
        boolean another = !line.address().equals(vm.address());
        vm = line;
        listed = true;
        if (another) {
            leaving = false;
            unreachable = false;
            convicted = false;
            onTrialAfterConviction = false;
            trialsLeft = 0;
            evidence = 0;
            tallies.clear();
            unreachableWait.reset();
            quarantineWait.reset();
            why = "list";
        }
    }

    void unlisted() {
        listed = false;
        why = "missing from the list";
    }

    boolean isListed() {
        return listed;
    }

    boolean isDrained() {
        return drained;
    }

    void drained(boolean out) {
        drained = out;
    }

    void leaving(boolean now, String reason) {
        leaving = now;
        why = reason;
    }

    boolean isLeaving() {
        return leaving;
    }

    /** Notes that no connection to it came about; returns how long to wait before it is probed. */
    long unreachable(long nowNanos) {
        unreachableSinceNanos = unreachable ? unreachableSinceNanos : nowNanos;
        unreachable = true;
        why = "unreachable";
        return unreachableWait.next();
    }

    boolean isUnreachable() {
        return unreachable;
    }

    /** Ends that it is unreachable; one task must succeed before it gets more than one at a time. */
    void reachable() {
        unreachable = false;
        trialsLeft = Math.max(trialsLeft, 1);
    }

    /** Puts it in quarantine, for longer each time. */
    void convict(boolean elsewhere, long nowNanos, String reason) {
        if (trialsLeft == 0 && nowNanos - trustedSinceNanos > HealthPolicy.FORGIVEN_AFTER_NANOS) {
            quarantineWait.reset();
        }
        convicted = true;
        onTrialAfterConviction = false;
        long factor = elsewhere ? HealthPolicy.QUARANTINE_FACTOR_ELSEWHERE : 1;
        convictedUntilNanos = nowNanos + factor * quarantineWait.next();
        why = reason;
    }

    boolean isConvicted() {
        return convicted;
    }

    long convictedUntilNanos() {
        return convictedUntilNanos;
    }

    /** Returns whether this node's own judgement keeps it from full work, which its peers should know. */
    boolean isUnderConviction() {
        return convicted || onTrialAfterConviction;
    }

    void startTrial() {
        convicted = false;
        onTrialAfterConviction = true;
        evidence = 0;
        trialsLeft = HealthPolicy.TRIAL_TASKS;
        why = "on trial";
    }

    /** Returns whether what is known is enough for quarantine; on trial one failure that is its own fault is. */
    boolean isConvictable(boolean elsewhere) {
        double needed = elsewhere ? HealthPolicy.CONVICTION_ELSEWHERE : HealthPolicy.CONVICTION;
        return !convicted && evidence >= (onTrialAfterConviction ? HealthPolicy.CONVICTION_ON_TRIAL : needed);
    }

    /** Records a success; returns whether it ended the trial. */
    boolean succeeded(long nowNanos) {
        unreachableWait.reset();
        if (trialsLeft == 0) {
            return false;
        }
        trialsLeft--;
        if (trialsLeft > 0) {
            return false;
        }
        trustedSinceNanos = nowNanos;
        onTrialAfterConviction = false;
        why = "trial passed";
        return true;
    }

    void peersConvicting(int delta) {
        peersConvicting += delta;
    }

    boolean isConvictedByPeers() {
        return peersConvicting > 0;
    }

    /** Lets it have one task at a time until some succeed. */
    void suspect() {
        evidence = Math.max(evidence, HealthPolicy.SUSPICION);
    }

    void outByPeers(boolean out) {
        outByPeers = out;
        if (out) {
            why = "a peer's quarantine";
        } else {
            trialsLeft = Math.max(trialsLeft, 1);
        }
    }

    boolean isOutByPeers() {
        return outByPeers;
    }

    /** Returns whether it is out or on trial for failing tasks, so that a trial's end cannot break the bound. */
    boolean countsAsQuarantined() {
        return isUnderConviction() || outByPeers;
    }

    void addEvidence(double added) {
        evidence = Math.max(0, evidence + added);
    }

    double evidence() {
        return evidence;
    }

    /** Records that it refused a task as full; refusals of tasks that were sent together count as one. */
    void busy(long nowNanos) {
        slots.markFull();
        if (fadedSinceRefusal) {
            fadedSinceRefusal = false;
            fadeWaitNanos = busyWait.next();
            fadesNanos = nowNanos + fadeWaitNanos;
        }
    }

    /** Lets the last refusal fade by one slot. */
    void refusalFades(long nowNanos) {
        slots.decayRefusal();
        fadedSinceRefusal = true;
        fadesNanos = nowNanos + fadeWaitNanos;
        if (!slots.hasRecentRefusal()) {
            busyWait.reset();
        }
    }

    /** Returns when a refusal is next to fade; {@link #NEVER} if none counts. */
    long fadesNanos() {
        return slots.hasRecentRefusal() ? fadesNanos : NEVER;
    }

    long wakeNanos() {
        return wakeNanos;
    }

    void wakeNanos(long nanos) {
        wakeNanos = nanos;
    }

    String why() {
        return drained ? "operator" : why;
    }

    Condition condition() {
        if (drained) {
            return Condition.DRAINED;
        }
        if (!listed) {
            return Condition.UNLISTED;
        }
        if (leaving) {
            return Condition.LEAVING;
        }
        if (unreachable) {
            return Condition.UNREACHABLE;
        }
        if (convicted || outByPeers) {
            return Condition.QUARANTINED;
        }
        return trialsLeft > 0 || evidence >= HealthPolicy.SUSPICION ? Condition.ON_TRIAL : Condition.LIVE;
    }

    /** Returns whether to keep it although a doubted list misses it: it works, or may be cut off for a while. */
    boolean isWorthKeeping(long nowNanos) {
        boolean longUnreachable =
                unreachable && nowNanos - unreachableSinceNanos > HealthPolicy.LONGEST_UNREACHABLE_KEPT_NANOS;
        return !leaving && !longUnreachable;
    }

    /** Returns whether only an answer to a probe can bring it back. */
    boolean needsProbe() {
        boolean listedAsLive = listed && !drained && vm.state() == VmState.LIVE;
        return listedAsLive && (leaving || unreachable || convicted);
    }

    /** Returns whether one more task may go there now, as far as its condition says. */
    boolean mayGetTask() {
        Condition condition = condition();
        return condition == Condition.LIVE || condition == Condition.ON_TRIAL && slots.ownInFlight() == 0;
    }
}
