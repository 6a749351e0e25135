package org.tarragonarch.standin;

import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.standin.platform.StandInPlatform;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a stand-in platform until the process is ended. */
@Command(name = "standin-platform", mixinStandardHelpOptions = true, description = "A platform in memory, for tests.")
public final class PlatformMain implements Callable<Integer> {
    @Option(names = "--address", required = true, description = "where to listen, as ip:port")
    private String address;

    private PlatformMain() {}

    /** Starts the program. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new PlatformMain()).execute(arguments));
    }

    @Override
    public Integer call() throws InterruptedException {
        Address listening = Address.parse(address);
        StandInPlatform platform = StandInPlatform.start(listening.ip(), listening.port());
        System.out.println("platform listens on " + platform.address());
        new CountDownLatch(1).await();
        return CommandLine.ExitCode.OK;
    }
}
