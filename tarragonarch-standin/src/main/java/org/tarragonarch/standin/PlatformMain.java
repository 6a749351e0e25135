package org.tarragonarch.standin;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.platform.VmState;
import org.tarragonarch.standin.platform.StandInPlatform;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a stand-in platform until the process is terminated. */
@Command(name = "standin-platform", mixinStandardHelpOptions = true, description = "An in-memory platform for tests.")
public final class PlatformMain implements Callable<Integer> {
    @Option(names = "--address", required = true, description = "where to listen, as ip:port")
    private String address;

    @Option(
            names = "--entry-vm",
            paramLabel = "NAME=DOMAIN@IP:PORT",
            description = "an entry VM to list at the start, with its node's peer address; may be repeated")
    private Map<String, String> entryVms = new LinkedHashMap<>();

    private PlatformMain() {}

    /** Starts the platform. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new PlatformMain()).execute(arguments));
    }

    @Override
    public Integer call() throws InterruptedException {
        Address listenAddress = Address.parse(address);
        StandInPlatform platform = StandInPlatform.start(listenAddress.ip(), listenAddress.port());
        entryVms.forEach((name, location) -> platform.addVm(entryVm(name, location)));
        System.out.println("platform listens on " + platform.address());
        new CountDownLatch(1).await();
        return CommandLine.ExitCode.OK;
    }

    private static VmRecord entryVm(String name, String location) {
        List<String> parts = Splitter.on('@').splitToList(location);
        return new VmRecord(
                name,
                VmRole.ENTRY,
                FailureDomain.of(parts.get(0)),
                Address.parse(parts.get(1)),
                VmState.LIVE,
                ImmutableSet.of(),
                0);
    }
}
