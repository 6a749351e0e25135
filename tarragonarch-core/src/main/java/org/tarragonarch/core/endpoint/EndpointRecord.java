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
    private final Backoff busyBackoff = new Backoff(HealthPolicy.INITIAL_BUSY_NANOS, 2, HealthPolicy.MAX_BUSY_NANOS);
    private final Backoff unreachableBackoff = new Backoff(
            HealthPolicy.INITIAL_UNREACHABLE_NANOS,
            HealthPolicy.UNREACHABLE_GROWTH,
            HealthPolicy.MAX_UNREACHABLE_NANOS);
    private final Backoff quarantineBackoff = new Backoff(
            HealthPolicy.INITIAL_QUARANTINE_NANOS, HealthPolicy.QUARANTINE_GROWTH, HealthPolicy.MAX_QUARANTINE_NANOS);
    private final Map<FailureScorer.KindKey, KindTally> tallies = new HashMap<>();

    private VmRecord vm;
    private boolean listed = true;
    private boolean drained;
    private boolean leaving;
    private boolean unreachable;
    private boolean quarantined;
    private boolean onTrialAfterQuarantine;
    private long quarantinedUntilNanos;
    private int quarantiningPeers;
    private boolean quarantinedForPeers;
    private int trialsLeft;
    private double failureScore;
    private long trustedSinceNanos;
    private long unreachableSinceNanos;
    private boolean decayedSinceRefusal = true;
    private long nextDecayNanos;
    private long decayWaitNanos;
    private long nextProbeNanos = NEVER;
    private String reason = "list";

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

    KindTally tally(FailureScorer.KindKey kind) {
        return tallies.computeIfAbsent(kind, key -> new KindTally());
    }

    /** Records the list's line; another address means another machine, of which nothing is known yet. */
    void markListed(VmRecord line) {
        boolean another = !line.address().equals(vm.address());
        vm = line;
        listed = true;
        if (another) {
            leaving = false;
            unreachable = false;
            quarantined = false;
            onTrialAfterQuarantine = false;
            trialsLeft = 0;
            failureScore = 0;
            tallies.clear();
            unreachableBackoff.reset();
            quarantineBackoff.reset();
            reason = "list";
        }
    }

    void markUnlisted() {
        listed = false;
        reason = "missing from the list";
    }

    boolean isListed() {
        return listed;
    }

    boolean isDrained() {
        return drained;
    }

    void setDrained(boolean out) {
        drained = out;
    }

    void setLeaving(boolean now, String reason) {
        leaving = now;
        this.reason = reason;
    }

    boolean isLeaving() {
        return leaving;
    }

    /** Notes that no connection to it came about; returns how long to wait before it is probed. */
    long markUnreachable(long nowNanos) {
        unreachableSinceNanos = unreachable ? unreachableSinceNanos : nowNanos;
        unreachable = true;
        reason = "unreachable";
        return unreachableBackoff.next();
    }

    boolean isUnreachable() {
        return unreachable;
    }

    /** Ends that it is unreachable; one task must succeed before it gets more than one at a time. */
    void markReachable() {
        unreachable = false;
        trialsLeft = Math.max(trialsLeft, 1);
    }

    /** Puts it in quarantine, for longer each time. */
    void quarantine(boolean elsewhere, long nowNanos, String reason) {
        if (trialsLeft == 0 && nowNanos - trustedSinceNanos > HealthPolicy.QUARANTINE_RESET_NANOS) {
            quarantineBackoff.reset();
        }
        quarantined = true;
        onTrialAfterQuarantine = false;
        long factor = elsewhere ? HealthPolicy.QUARANTINE_FACTOR_ELSEWHERE : 1;
        quarantinedUntilNanos = nowNanos + factor * quarantineBackoff.next();
        this.reason = reason;
    }

    boolean isQuarantined() {
        return quarantined;
    }

    long quarantinedUntilNanos() {
        return quarantinedUntilNanos;
    }

    /** Returns whether this node's own judgement keeps it from full work, which its peers should know. */
    boolean isQuarantinedOrOnTrial() {
        return quarantined || onTrialAfterQuarantine;
    }

    void startTrial() {
        quarantined = false;
        onTrialAfterQuarantine = true;
        failureScore = 0;
        trialsLeft = HealthPolicy.TRIAL_TASKS;
        reason = "on trial";
    }

    /** Returns whether what is known is enough for quarantine; on trial one failure that is its own fault is. */
    boolean shouldQuarantine(boolean elsewhere) {
        double needed = elsewhere ? HealthPolicy.QUARANTINE_THRESHOLD_ELSEWHERE : HealthPolicy.QUARANTINE_THRESHOLD;
        return !quarantined
                && failureScore >= (onTrialAfterQuarantine ? HealthPolicy.QUARANTINE_THRESHOLD_ON_TRIAL : needed);
    }

    /** Records a success; returns whether it ended the trial. */
    boolean recordSuccess(long nowNanos) {
        unreachableBackoff.reset();
        if (trialsLeft == 0) {
            return false;
        }
        trialsLeft--;
        if (trialsLeft > 0) {
            return false;
        }
        trustedSinceNanos = nowNanos;
        onTrialAfterQuarantine = false;
        reason = "trial passed";
        return true;
    }

    void adjustPeerQuarantines(int delta) {
        quarantiningPeers += delta;
    }

    boolean isQuarantinedAtPeers() {
        return quarantiningPeers > 0;
    }

    /** Lets it have one task at a time until some succeed. */
    void markSuspected() {
        failureScore = Math.max(failureScore, HealthPolicy.SUSPICION_THRESHOLD);
    }

    void setQuarantinedForPeers(boolean out) {
        quarantinedForPeers = out;
        if (out) {
            reason = "a peer's quarantine";
        } else {
            trialsLeft = Math.max(trialsLeft, 1);
        }
    }

    boolean isQuarantinedForPeers() {
        return quarantinedForPeers;
    }

    /** Returns whether it is out or on trial for failing tasks, so that a trial's end cannot break the bound. */
    boolean countsAsQuarantined() {
        return isQuarantinedOrOnTrial() || quarantinedForPeers;
    }

    void addFailureScore(double added) {
        failureScore = Math.max(0, failureScore + added);
    }

    double failureScore() {
        return failureScore;
    }

    /** Records that it refused a task as full; refusals of tasks that were sent together count as one. */
    void recordBusyRefusal(long nowNanos) {
        slots.full();
        if (decayedSinceRefusal) {
            decayedSinceRefusal = false;
            decayWaitNanos = busyBackoff.next();
            nextDecayNanos = nowNanos + decayWaitNanos;
        }
    }

    /** Lets the last refusal fade by one slot. */
    void decayRefusal(long nowNanos) {
        slots.refusalFades();
        decayedSinceRefusal = true;
        nextDecayNanos = nowNanos + decayWaitNanos;
        if (!slots.remembersRefusal()) {
            busyBackoff.reset();
        }
    }

    /** Returns when a refusal is next to fade; {@link #NEVER} if none counts. */
    long nextDecayNanos() {
        return slots.remembersRefusal() ? nextDecayNanos : NEVER;
    }

    long nextProbeNanos() {
        return nextProbeNanos;
    }

    void nextProbeNanos(long nanos) {
        nextProbeNanos = nanos;
    }

    String reason() {
        return drained ? "operator" : reason;
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
        if (quarantined || quarantinedForPeers) {
            return Condition.QUARANTINED;
        }
        return trialsLeft > 0 || failureScore >= HealthPolicy.SUSPICION_THRESHOLD ? Condition.ON_TRIAL : Condition.LIVE;
    }

    /** Returns whether to keep it although a doubted list misses it: it works, or may be cut off for a while. */
    boolean isKeptWhenMissing(long nowNanos) {
        boolean longUnreachable =
                unreachable && nowNanos - unreachableSinceNanos > HealthPolicy.MAX_UNREACHABLE_KEPT_NANOS;
        return !leaving && !longUnreachable;
    }

    /** Returns whether only an answer to a probe can bring it back. */
    boolean needsProbe() {
        boolean listedAsLive = listed && !drained && vm.state() == VmState.LIVE;
        return listedAsLive && (leaving || unreachable || quarantined);
    }

    /** Returns whether one more task may go there now, as far as its condition says. */
    boolean canReceiveTask() {
        Condition condition = condition();
        return condition == Condition.LIVE || condition == Condition.ON_TRIAL && slots.ownInFlight() == 0;
    }
}
