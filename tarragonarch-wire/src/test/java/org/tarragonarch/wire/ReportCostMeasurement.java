package org.tarragonarch.wire;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.tarragonarch.core.action.SendReport;
import org.tarragonarch.core.membership.PeerDirectory;
import org.tarragonarch.core.node.NodeIdentity;
import org.tarragonarch.core.node.NodePolicy;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.platform.VmState;
import org.tarragonarch.model.report.EndpointLoad;
import org.tarragonarch.model.report.PeerReport;
import org.testng.annotations.Test;

/**
 * Measures the bytes and the processor time of reports by the number of endpoints and peers.
 *
 * <p>Not part of the tests. Run it with {@code mvn -pl tarragonarch-wire -am test -Dtest=ReportCostMeasurement
 * -Dsurefire.failIfNoSpecifiedTests=false}.
 */
public final class ReportCostMeasurement {
    private static final Address ADDRESS = new Address("127.0.0.1", 8301);
    private static final int HEADER_BYTES = 52;
    private static final int SECONDS = 600;
    private static final int STEP_MILLIS = 50;

    @Test
    public void measureBytesOfOneReport() {
        for (int endpoints : new int[] {0, 10, 30, 110}) {
            ImmutableList<EndpointLoad> loads = IntStream.range(0, endpoints)
                    .mapToObj(i -> Samples.load(String.format("hobart-worker-%03d", i), 1 + i % 8))
                    .collect(ImmutableList.toImmutableList());
            int bytes = FrameCodec.encode(new ReportFrame(Samples.report(Samples.HOBART, 100_000, loads))).length;
            print("report endpoints=%d bytes=%d with-length=%d", endpoints, bytes, bytes + FrameCodec.LENGTH_BYTES);
        }
    }

    @Test
    public void measureRoundsOfADomain() throws Exception {
        for (int round = 0; round < 2; round++) {
            for (int peers : new int[] {3, 7, 30}) {
                for (int endpoints : new int[] {10, 30, 110}) {
                    measureDomain(peers, endpoints, round > 0);
                }
            }
        }
    }

    /** Measures what each node of one domain sends, within and between 19 idle domains of seven nodes each. */
    @Test
    public void measureLinksBetweenDomains() {
        ImmutableList.Builder<VmRecord> vms = ImmutableList.builder();
        for (int domain = 0; domain < 19; domain++) {
            for (int node = 0; node < 7; node++) {
                vms.add(vm("d" + domain + "-" + node, FailureDomain.of("d" + domain)));
            }
        }
        for (int node = 0; node < 7; node++) {
            FailureDomain own = FailureDomain.of("d0");
            NodeId self = NodeId.of("d0-" + node);
            PeerDirectory directory =
                    PeerDirectory.create(new NodeIdentity(self, Incarnation.of(5), own, ADDRESS), NodePolicy.DEFAULT);
            directory.updateListed(vms.build(), 0, action -> {});
            for (int peer = 0; peer < 7; peer++) {
                receiveReport(directory, NodeId.of("d0-" + peer), own);
            }
            BusySource source = new BusySource(1, 1);
            long[] totals = new long[2];
            for (long millis = 0; millis < 1_900; millis += STEP_MILLIS) {
                long now = Duration.ofMillis(millis).toNanos();
                directory.timePassed(now, source, action -> {
                    if (action instanceof SendReport send) {
                        totals[0]++;
                        totals[1] += FrameCodec.encode(new ReportFrame(send.report())).length
                                + FrameCodec.LENGTH_BYTES
                                + HEADER_BYTES;
                    }
                });
            }
            print("links node=%s reports/s=%.1f with-headers=%.0f", self, totals[0] / 1.9, totals[1] / 1.9);
        }
    }

    private static void receiveReport(PeerDirectory directory, NodeId peer, FailureDomain domain) {
        Hello hello = Hello.of(peer, Incarnation.of(1), domain);
        directory.recordReport(Samples.report(hello, 1, ImmutableList.of()), 0, action -> {});
    }

    private static VmRecord vm(String name, FailureDomain domain) {
        return new VmRecord(name, VmRole.ENTRY, domain, ADDRESS, VmState.LIVE, ImmutableSet.of(), 0);
    }

    /** Measures the processor time of both ends of a socket in this process at 500 evenly spaced reports a second. */
    @Test
    public void measureSockets() throws Exception {
        RecordingListener received = new RecordingListener();
        InetSocketAddress any = new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), 0);
        BusySource source = new BusySource(30, 3);
        try (PeerNetwork to =
                        PeerNetwork.start(any, Samples.hello("devonport-1", 1), received, PeerNetworkSettings.DEFAULT);
                PeerNetwork from =
                        PeerNetwork.start(any, Samples.HOBART, new RecordingListener(), PeerNetworkSettings.DEFAULT)) {
            for (int pass = 0; pass < 3; pass++) {
                long cpu = processCpuNanos();
                int sent = 5_000;
                for (int i = 0; i < sent; i++) {
                    PeerReport report = Samples.report(Samples.HOBART, pass * sent + i, source.loads());
                    from.send(NodeId.of("devonport-1"), to.address(), new ReportFrame(report));
                    Thread.sleep(2);
                }
                for (int i = 0; i < sent; i++) {
                    received.awaitReceived();
                }
                print(
                        "sockets pass=%d endpoints=30 cpu-us-per-report-both-ends=%.1f",
                        pass, (processCpuNanos() - cpu) / 1_000.0 / sent);
            }
        }
    }

    private static void measureDomain(int peers, int endpoints, boolean printed) throws Exception {
        Hello hello = Hello.of(NodeId.of("hobart-0"), Incarnation.of(1_764_705_600_000L), FailureDomain.of("hobart"));
        BusySource source = new BusySource(endpoints, peers + 1);
        PeerDirectory sender = directory(hello.node(), hello.incarnation(), peers);
        PeerDirectory receiver = directory(NodeId.of("hobart-1"), Incarnation.of(5), peers);
        List<byte[]> toFirst = new ArrayList<>();
        long[] totals = new long[2];
        long sendCpu = 0;
        for (long millis = 0; millis < SECONDS * 1_000L; millis += STEP_MILLIS) {
            source.advanceMillis(STEP_MILLIS);
            long now = Duration.ofMillis(millis).toNanos();
            long before = threadCpuNanos();
            if (now >= sender.nextWakeNanos()) {
                sender.timePassed(now, source, action -> {
                    SendReport send = (SendReport) action;
                    byte[] bytes = FrameCodec.encode(new ReportFrame(send.report()));
                    totals[0]++;
                    totals[1] += bytes.length + FrameCodec.LENGTH_BYTES;
                    if (send.peer().value().equals("hobart-1")) {
                        toFirst.add(bytes);
                    }
                });
            }
            sendCpu += threadCpuNanos() - before;
        }
        long before = threadCpuNanos();
        for (int i = 0; i < toFirst.size(); i++) {
            ReportFrame frame = (ReportFrame) FrameCodec.decode("hobart-0", Optional.of(hello), toFirst.get(i));
            receiver.recordReport(frame.report(), Duration.ofMillis(250L * i).toNanos(), action -> {});
        }
        long receiveCpu = threadCpuNanos() - before;
        if (printed) {
            print(
                    "peers=%d endpoints=%d reports/s=%.1f bytes/s=%.0f with-headers=%.0f bytes/report=%.0f"
                            + " cpu-us/report sent=%.1f received=%.1f core-percent=%.3f",
                    peers,
                    endpoints,
                    (double) totals[0] / SECONDS,
                    (double) totals[1] / SECONDS,
                    (double) (totals[1] + HEADER_BYTES * totals[0]) / SECONDS,
                    (double) totals[1] / totals[0],
                    sendCpu / 1_000.0 / totals[0],
                    receiveCpu / 1_000.0 / toFirst.size(),
                    100.0
                            * totals[0]
                            / SECONDS
                            * ((double) sendCpu / totals[0] + (double) receiveCpu / toFirst.size())
                            / 1e9);
        }
    }

    private static PeerDirectory directory(NodeId self, Incarnation run, int peers) {
        FailureDomain domain = FailureDomain.of("hobart");
        PeerDirectory directory =
                PeerDirectory.create(new NodeIdentity(self, run, domain, ADDRESS), NodePolicy.DEFAULT);
        ImmutableList.Builder<VmRecord> vms = ImmutableList.builder();
        for (int i = 0; i <= peers; i++) {
            vms.add(vm("hobart-" + i, domain));
        }
        directory.updateListed(vms.build(), 0, action -> {});
        return directory;
    }

    private static long threadCpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static long processCpuNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
    }

    private static void print(String format, Object... values) {
        System.out.println("MEASURED " + String.format(format, values));
    }
}
