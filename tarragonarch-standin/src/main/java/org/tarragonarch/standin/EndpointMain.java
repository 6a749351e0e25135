package org.tarragonarch.standin;

import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.standin.endpoint.EndpointOptions;
import org.tarragonarch.standin.endpoint.StandInEndpoint;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs stand-in endpoints until the process is terminated, then drains them. */
@Command(name = "standin-endpoint", mixinStandardHelpOptions = true, description = "Endpoints that run small tasks.")
public final class EndpointMain implements Callable<Integer> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    @Option(names = "--name", required = true, description = "the endpoint's name")
    private String name;

    @Option(names = "--domain", required = true, description = "the endpoint's failure domain")
    private String domain;

    @Option(names = "--address", required = true, description = "where to listen, as ip:port")
    private String address;

    @Option(names = "--platform", description = "the platform to register with, as ip:port")
    private String platform;

    @Option(names = "--services", split = ",", required = true, description = "the services to run tasks for")
    private List<String> services = List.of();

    @Option(
            names = "--slots",
            defaultValue = "8",
            description = "the number of tasks that run at once (${DEFAULT-VALUE})")
    private int slots;

    @Option(
            names = "--linger-ms",
            defaultValue = "3000",
            description = "the minimum time from termination signal to exit, in milliseconds (${DEFAULT-VALUE})")
    private long lingerMillis;

    @Option(
            names = "--count",
            defaultValue = "1",
            description = "the number of endpoints; several are named NAME-1 and so on, on consecutive ports")
    private int count;

    private EndpointMain() {}

    /** Starts the endpoints. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new EndpointMain()).execute(arguments));
    }

    @Override
    public Integer call() throws InterruptedException {
        List<StandInEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            StandInEndpoint endpoint = StandInEndpoint.start(options(i));
            endpoints.add(endpoint);
            System.out.println("endpoint " + options(i).id() + " listens on " + endpoint.address());
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(endpoints), "drain"));
        new CountDownLatch(1).await();
        return CommandLine.ExitCode.OK;
    }

    private EndpointOptions options(int index) {
        Address first = Address.parse(address);
        return new EndpointOptions(
                EndpointId.of(count == 1 ? name : name + "-" + (index + 1)),
                FailureDomain.of(domain),
                first.ip(),
                first.port() + index,
                Optional.ofNullable(platform).map(Address::parse),
                services.stream().map(ServiceName::of).collect(ImmutableSet.toImmutableSet()),
                slots,
                Duration.ofMillis(lingerMillis));
    }

    private static void drain(List<StandInEndpoint> endpoints) {
        endpoints.parallelStream().forEach(endpoint -> {
            try {
                endpoint.drain();
            } catch (InterruptedException e) {
                LOGGER.atWarning().withCause(e).log("the draining of an endpoint was interrupted");
            }
        });
    }
}
