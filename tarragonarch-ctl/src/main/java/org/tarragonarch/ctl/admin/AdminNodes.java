package org.tarragonarch.ctl.admin;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.tarragonarch.ctl.connection.Connection;

/** The nodes whose administration addresses the operator knows. */
public final class AdminNodes implements AutoCloseable {
    private static final int MAX_THREADS = 16;

    private final ImmutableList<AdminClient> clients;
    private final ExecutorService threads;

    private AdminNodes(ImmutableList<AdminClient> clients) {
        this.clients = clients;
        this.threads = Executors.newFixedThreadPool(Math.min(MAX_THREADS, clients.size()), AdminNodes::daemonThread);
    }

    /**
     * Returns the nodes of a connection, which must name at least one address and hold an operator token.
     *
     * @param timeout how long one call may take
     */
    public static AdminNodes create(Connection connection, Duration timeout) {
        checkArgument(!connection.adminAddresses().isEmpty(), "no administration address");
        String token = connection.operatorToken().orElseThrow(() -> new IllegalArgumentException("no operator token"));
        AdminHttp http = AdminHttp.create(token, timeout);
        return new AdminNodes(connection.adminAddresses().stream()
                .map(address -> new AdminClient(http, address))
                .collect(ImmutableList.toImmutableList()));
    }

    /** Returns the clients, in the order of the connection's addresses. */
    public ImmutableList<AdminClient> clients() {
        return clients;
    }

    /** Asks every node at once and returns every answer, in the order of the connection's addresses. */
    public <T> ImmutableList<AdminResult<T>> callAll(AdminCall<T> call) {
        ImmutableList<CompletableFuture<AdminResult<T>>> asked = clients.stream()
                .map(client -> CompletableFuture.supplyAsync(() -> ask(client, call), threads))
                .collect(ImmutableList.toImmutableList());
        return asked.stream().map(CompletableFuture::join).collect(ImmutableList.toImmutableList());
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }

    private static <T> AdminResult<T> ask(AdminClient client, AdminCall<T> call) {
        try {
            return AdminResult.of(client.address(), call.call(client));
        } catch (AdminException e) {
            return AdminResult.failed(client.address(), e);
        }
    }

    private static Thread daemonThread(Runnable work) {
        Thread thread = new Thread(work, "admin-call");
        thread.setDaemon(true);
        return thread;
    }
}
