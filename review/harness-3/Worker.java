import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in for one life of a worker that receives its orders by call. */
final class Worker {
    /** The most that a lease may last, in milliseconds on the worker's clock. */
    private static final long HOLD_MAX_MILLIS = 1_000;

    /** How long a stop takes, in milliseconds; at most 50 are allowed. */
    private static final long STOP_MILLIS = 20;

    /** Tells that an order is carried out and its answer is lost. */
    static final long ANSWER_LOST = -1;

    private static final long HEARTBEAT_MILLIS = 1_500;

    private final String id;
    private final String zone;
    private final Settings settings;
    private final Store store;
    private final Ledger ledger;
    private final HttpServer server;
    private final long startNanos = System.nanoTime();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> highestOver = new HashMap<>();
    private final List<List<Object>> ended = new ArrayList<>();
    private long capacityMilliCores;
    private long fence;
    private long endCount;
    private long leaseUntil;
    private long seq;
    private boolean dead;
    private boolean registers = true;
    private volatile Trouble trouble = order -> 0;

    Worker(String id, String zone, String ip, int port, Settings settings, Store store, Ledger ledger)
            throws IOException {
        this.id = id;
        this.zone = zone;
        this.settings = settings;
        this.capacityMilliCores = settings.milliCores();
        this.store = store;
        this.ledger = ledger;
        this.server = new HttpServer(ip, port, this::handle);
        HttpServer.daemon(this::heartbeat, "heartbeat " + id);
        HttpServer.daemon(this::tick, "clock " + id);
    }

    String id() {
        return id;
    }

    int port() {
        return server.port();
    }

    /** Sets how orders are treated from now on. */
    void trouble(Trouble next) {
        trouble = next;
    }

    /** Cuts the worker off from everything, the store included; what runs goes on until its lease is over. */
    synchronized void cutOff() {
        registers = false;
        server.cut();
        ledger.note("worker " + id + " is cut off");
    }

    /** Ends the cut. */
    void reconnect() {
        ledger.note("worker " + id + " is reached again");
        synchronized (this) {
            registers = true;
        }
        server.heal();
    }

    /** Ends this life without a word, as in a crash; the entry stays. */
    synchronized void crash() {
        dead = true;
        for (Run run : running.values()) {
            ledger.ended(id, run.task(), run.run(), "crashed");
        }
        running.clear();
        notifyAll();
        server.close();
        ledger.note("worker " + id + " has crashed");
    }

    /** Changes the capacity while the worker runs; its entry shows it at the next heartbeat. */
    synchronized void resize(long milliCores) {
        capacityMilliCores = milliCores;
        ledger.note("worker " + id + " has now room for " + milliCores);
        register();
    }

    synchronized long capacityMilliCores() {
        return capacityMilliCores;
    }

    private long clock() {
        return Math.round((System.nanoTime() - startNanos) / 1e6 * settings.clockRate());
    }

    private void heartbeat() {
        while (true) {
            synchronized (this) {
                if (dead) {
                    return;
                }
                if (registers) {
                    register();
                }
            }
            pause(HEARTBEAT_MILLIS);
        }
    }

    private synchronized void register() {
        seq++;
        Map<String, Object> entry = Json.of(
                "Id", id, "Service", settings.service(), "Addr", server.address(), "Zone", zone, "Version", "v1",
                "Slots", 8, "State", "ready", "ColdLeftMs", 0, "Seq", seq, "Capacity",
                Json.of("Cpu", capacityMilliCores, "MemMb", 32_768, "Gpu", 0), "Labels",
                List.of("a", "rack-1"));
        if (settings.tellsBirth()) {
            entry.put("born", settings.bornMillis());
        }
        store.put("servers", id, Json.write(entry));
    }

    /** Ends runs that are done, stopped or without a lease. */
    private void tick() {
        while (true) {
            synchronized (this) {
                if (dead) {
                    return;
                }
                long now = clock();
                for (Run run : List.copyOf(running.values())) {
                    if (now >= leaseUntil) {
                        end(run, "lapsed");
                    } else if (now >= run.stoppedAt()) {
                        end(run, "stopped");
                    } else if (now >= run.doneAt()) {
                        end(run, "done");
                    }
                }
            }
            pause(2);
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task());
        highestOver.merge(run.task(), run.run(), Math::max);
        endCount++;
        ended.add(List.of(endCount, run.task(), run.run(), how, ""));
        ledger.ended(id, run.task(), run.run(), how);
        notifyAll();
    }

    private HttpServer.Response handle(HttpServer.Request request) throws InterruptedException {
        if (request.method().equals("GET")) {
            return HttpServer.Response.json(200);
        }
        String expected = request.headers().get("x-expect-instance");
        if (expected != null && !expected.equals(id)) {
            return HttpServer.Response.json(421, "Error", "another instance");
        }
        long late = trouble.lateMillis(request);
        if (late == ANSWER_LOST) {
            perform(request);
            return null;
        }
        if (late > 0) {
            HttpServer.daemon(() -> performLate(request, late), "late order");
            return null;
        }
        return perform(request);
    }

    private void performLate(HttpServer.Request request, long millis) {
        try {
            Thread.sleep(millis);
            perform(request);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private HttpServer.Response perform(HttpServer.Request request) throws InterruptedException {
        Map<String, Object> body = Json.object(request.body());
        long token = (Long) body.getOrDefault("Fence", 0L);
        synchronized (this) {
            if (dead) {
                return null;
            }
            if (token < fence) {
                return HttpServer.Response.json(409, "ClockMs", clock(), "Reason", "fence");
            }
            fence = token;
            return switch (request.path()) {
                case "/run-start" -> start(body);
                case "/run-stop" -> stop(body);
                case "/hold" -> hold(body);
                default -> HttpServer.Response.json(404);
            };
        }
    }

    private HttpServer.Response start(Map<String, Object> body) {
        String task = (String) body.get("Task");
        long number = (Long) body.get("Run");
        long until = (Long) body.getOrDefault("UntilMs", 0L);
        Run present = running.get(task);
        if (present != null && present.run() == number) {
            extend(until);
            return HttpServer.Response.json(200, "ClockMs", clock());
        }
        if (number <= highestOver.getOrDefault(task, 0L) || present != null) {
            extend(until);
            return HttpServer.Response.json(409, "ClockMs", clock(), "Reason", "old");
        }
        if (until <= clock()) {
            return HttpServer.Response.json(409, "ClockMs", clock(), "Reason", "late");
        }
        extend(until);
        long work = settings.workMillis();
        Run run = new Run(task, number, Long.MAX_VALUE, clock() + work, clock());
        running.put(task, run);
        ledger.started(this, task, number, (String) body.get("Spec"), running.size());
        return HttpServer.Response.json(200, "ClockMs", clock());
    }

    private HttpServer.Response stop(Map<String, Object> body) {
        String task = (String) body.get("Task");
        long number = (Long) body.get("Run");
        Run present = running.get(task);
        if (present != null && present.run() <= number) {
            if (present.stoppedAt() == Long.MAX_VALUE) {
                running.put(
                        task,
                        new Run(task, present.run(), clock() + STOP_MILLIS, present.doneAt(), present.startedAt()));
            }
        } else if (present == null) {
            highestOver.merge(task, number, Math::max);
        }
        return HttpServer.Response.json(200, "ClockMs", clock());
    }

    private HttpServer.Response hold(Map<String, Object> body) throws InterruptedException {
        long acknowledged = (Long) body.getOrDefault("AckedUpto", 0L);
        long token = (Long) body.getOrDefault("Fence", 0L);
        ended.removeIf(end -> (Long) end.get(0) <= acknowledged);
        if (body.containsKey("UntilMs")) {
            extend((Long) body.get("UntilMs"));
        }
        long until = System.nanoTime() + (Long) body.getOrDefault("WaitMs", 0L) * 1_000_000;
        while (ended.isEmpty() && !dead && System.nanoTime() < until && fence == token) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
        }
        if (dead) {
            return null;
        }
        if (fence != token) {
            return HttpServer.Response.json(409, "ClockMs", clock(), "Reason", "fence");
        }
        List<Object> runs = new ArrayList<>();
        for (Run run : running.values()) {
            long percent = Math.min(99, 100 * (clock() - run.startedAt()) / Math.max(1, run.doneAt() - run.startedAt()));
            runs.add(List.of(run.task(), run.run(), "", percent, 0));
        }
        Map<String, Object> answer =
                Json.of("ClockMs", clock(), "Running", runs, "Ended", ended.subList(0, Math.min(500, ended.size())));
        if (settings.tellsBirth()) {
            answer.put("born", settings.bornMillis());
        }
        return new HttpServer.Response(200, Json.write(answer));
    }

    private void extend(long until) {
        leaseUntil = Math.max(leaseUntil, Math.min(until, clock() + HOLD_MAX_MILLIS));
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * The settings of one life of a worker.
     *
     * @param clockRate how fast its steady clock runs; 0.98 is the slowest that is allowed
     * @param workMillis how long each task takes
     * @param tellsBirth whether the entry and the lists say when the worker started
     */
    record Settings(
            String service, long milliCores, double clockRate, long workMillis, boolean tellsBirth, long bornMillis) {}

    private record Run(String task, long run, long stoppedAt, long doneAt, long startedAt) {}

    /** Decides how an order is treated. */
    interface Trouble {
        /** Returns after which time an order is carried out without an answer; 0 if it is carried out and answered. */
        long lateMillis(HttpServer.Request order);
    }

    /** Receives what happens on the workers. */
    interface Ledger {
        /** @param runs the number of runs on the worker, this one included */
        void started(Worker worker, String task, long run, String specification, int runs);

        void ended(String worker, String task, long run, String how);

        void note(String line);
    }
}
