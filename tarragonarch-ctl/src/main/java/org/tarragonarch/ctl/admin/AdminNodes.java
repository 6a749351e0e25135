package org.tarragonarch.ctl.admin;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.tarragonarch.ctl.connection.Connection;

/** Clients of all nodes whose administration addresses are configured. */
public final class AdminNodes implements AutoCloseable {
    private static final int MAX_THREADS = 16;

    private final ImmutableList<AdminClient> clients;
    private final ExecutorService threads;

    private AdminNodes(ImmutableList<AdminClient> clients) {
        this.clients = clients;
        this.threads = Executors.newFixedThreadPool(Math.min(MAX_THREADS, clients.size()), AdminNodes::daemonThread);
    }

    /**
     * Creates clients for the administration addresses of a connection.
     *
     * @param connection the connection; must have an administration address and an operator token
     * @param timeout the timeout of a call
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

    /** Calls all nodes in parallel and returns their results, in the order of the connection's addresses. */
    public <T> ImmutableList<AdminResult<T>> callAll(AdminCall<T> call) {
        ImmutableList<CompletableFuture<AdminResult<T>>> calls = clients.stream()
                .map(client -> CompletableFuture.supplyAsync(() -> call(client, call), threads))
                .collect(ImmutableList.toImmutableList());
        return calls.stream().map(CompletableFuture::join).collect(ImmutableList.toImmutableList());
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }

    private static <T> AdminResult<T> call(AdminClient client, AdminCall<T> call) {
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
