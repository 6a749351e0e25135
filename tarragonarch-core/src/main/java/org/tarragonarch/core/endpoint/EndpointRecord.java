package org.tarragonarch.core.endpoint;

import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.core.placement.EndpointSlots;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmState;

/** The state of one endpoint as this node knows it. */
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

    /** Records the VM list entry. A new address means a new machine, so the earlier health state is discarded. */
    void markListed(VmRecord entry) {
        boolean addressChanged = !entry.address().equals(vm.address());
        vm = entry;
        listed = true;
        if (addressChanged) {
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

    void setDrained(boolean value) {
        drained = value;
    }

    void setLeaving(boolean value, String reason) {
        leaving = value;
        this.reason = reason;
    }

    boolean isLeaving() {
        return leaving;
    }

    /** Records that a connection failed; returns how long to wait before the next probe, in nanoseconds. */
    long markUnreachable(long nowNanos) {
        unreachableSinceNanos = unreachable ? unreachableSinceNanos : nowNanos;
        unreachable = true;
        reason = "unreachable";
        return unreachableBackoff.next();
    }

    boolean isUnreachable() {
        return unreachable;
    }

    /** Marks it as reachable; one task must succeed before it gets more than one at a time. */
    void markReachable() {
        unreachable = false;
        trialsLeft = Math.max(trialsLeft, 1);
    }

    /** Quarantines it, each time for longer. */
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

    /** Returns whether this node itself holds it in quarantine or on trial, which is reported to peers. */
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

    /** Returns whether its failure score calls for quarantine; on trial, one failure attributed to it is enough. */
    boolean shouldQuarantine(boolean elsewhere) {
        double threshold = elsewhere ? HealthPolicy.QUARANTINE_THRESHOLD_ELSEWHERE : HealthPolicy.QUARANTINE_THRESHOLD;
        return !quarantined
                && failureScore >= (onTrialAfterQuarantine ? HealthPolicy.QUARANTINE_THRESHOLD_ON_TRIAL : threshold);
    }

    /** Records a successful task; returns whether it completed the trial. */
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

    /** Limits it to one task at a time until some tasks have succeeded. */
    void markSuspected() {
        failureScore = Math.max(failureScore, HealthPolicy.SUSPICION_THRESHOLD);
    }

    /** Sets whether it is out of use because peers hold it in quarantine. */
    void setQuarantinedForPeers(boolean value) {
        quarantinedForPeers = value;
        if (value) {
            reason = "a peer's quarantine";
        } else {
            trialsLeft = Math.max(trialsLeft, 1);
        }
    }

    boolean isQuarantinedForPeers() {
        return quarantinedForPeers;
    }

    /** Returns whether it counts towards the limit of quarantined endpoints, as it does until its trial has ended. */
    boolean countsAsQuarantined() {
        return isQuarantinedOrOnTrial() || quarantinedForPeers;
    }

    void addFailureScore(double added) {
        failureScore = Math.max(0, failureScore + added);
    }

    double failureScore() {
        return failureScore;
    }

    /** Records that it refused a task because it was full; refusals of tasks sent together count once. */
    void recordBusyRefusal(long nowNanos) {
        slots.markFull();
        if (decayedSinceRefusal) {
            decayedSinceRefusal = false;
            decayWaitNanos = busyBackoff.next();
            nextDecayNanos = nowNanos + decayWaitNanos;
        }
    }

    /** Counts one more slot as free, as the last refusal becomes old. */
    void decayRefusal(long nowNanos) {
        slots.decayRefusal();
        decayedSinceRefusal = true;
        nextDecayNanos = nowNanos + decayWaitNanos;
        if (!slots.hasRecentRefusal()) {
            busyBackoff.reset();
        }
    }

    /** Returns when the last refusal next decays by one slot; {@link #NEVER} if it no longer has any effect. */
    long nextDecayNanos() {
        return slots.hasRecentRefusal() ? nextDecayNanos : NEVER;
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

    /** Returns whether a doubtful VM list does not remove it: it is neither leaving nor long unreachable. */
    boolean isKeptWhenMissing(long nowNanos) {
        boolean longUnreachable =
                unreachable && nowNanos - unreachableSinceNanos > HealthPolicy.MAX_UNREACHABLE_KEPT_NANOS;
        return !leaving && !longUnreachable;
    }

    /** Returns whether only a successful probe can bring it back into use. */
    boolean needsProbe() {
        boolean listedAsLive = listed && !drained && vm.state() == VmState.LIVE;
        return listedAsLive && (leaving || unreachable || quarantined);
    }

    /** Returns whether its condition permits one more task now. */
    boolean canReceiveTask() {
        Condition condition = condition();
        return condition == Condition.LIVE || condition == Condition.ON_TRIAL && slots.ownInFlight() == 0;
    }
}
