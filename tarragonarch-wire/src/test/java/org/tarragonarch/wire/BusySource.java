package org.tarragonarch.wire;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Random;
import org.tarragonarch.core.membership.ReportSource;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.report.EndpointLoad;
import org.tarragonarch.model.report.NodePhase;

/** A source of reports of a node under full load, whose in-flight counts change continually. */
final class BusySource implements ReportSource {
    private static final int SLOTS = 8;

    private final Random random = new Random(7);
    private final EndpointId[] endpoints;
    private final int[] inFlight;
    private final int sharers;

    BusySource(int endpoints, int sharers) {
        this.sharers = sharers;
        this.inFlight = new int[endpoints];
        this.endpoints = new EndpointId[endpoints];
        for (int i = 0; i < endpoints; i++) {
            this.endpoints[i] = EndpointId.of(String.format("hobart-worker-%03d", i));
        }
        advanceMillis(10_000);
    }

    /** Simulates the passage of time: a task takes 250 ms, so each slot starts 4 tasks a second. */
    void advanceMillis(long millis) {
        long tasks = Math.max(1, endpoints.length * SLOTS / sharers * millis / 250);
        for (long i = 0; i < tasks; i++) {
            int ended = random.nextInt(endpoints.length);
            inFlight[ended] = Math.max(0, inFlight[ended] - 1);
            int begun = random.nextInt(endpoints.length);
            if (total() < endpoints.length * SLOTS / sharers) {
                inFlight[begun] = Math.min(SLOTS, inFlight[begun] + 1);
            }
        }
    }

    @Override
    public NodePhase phase() {
        return NodePhase.SERVING;
    }

    @Override
    public ConfigurationVersion configuration() {
        return ConfigurationVersion.of(20_000);
    }

    @Override
    public ImmutableList<EndpointLoad> loads() {
        ImmutableList.Builder<EndpointLoad> loads = ImmutableList.builder();
        for (int i = 0; i < endpoints.length; i++) {
            if (inFlight[i] > 0) {
                loads.add(new EndpointLoad(endpoints[i], inFlight[i]));
            }
        }
        return loads.build();
    }

    @Override
    public ImmutableSet<EndpointId> leaving() {
        return ImmutableSet.of(endpoints[0]);
    }

    @Override
    public ImmutableSet<EndpointId> quarantined() {
        return ImmutableSet.of();
    }

    private int total() {
        int total = 0;
        for (int count : inFlight) {
            total += count;
        }
        return total;
    }
}
