import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A worker as PROTOCOL.md describes it: fences, runs with leases, lists of runs and of their ends. */
final class Worker {
    private static final long MAX_LEASE_MILLIS = 1_000;
    private static final long HEARTBEAT_MILLIS = 1_500;

    private final String id;
    private final String zone;
    private final Store store;
    private final Record record;
    private final Http.Server server;
    private final long startNanos = System.nanoTime();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> lastOver = new LinkedHashMap<>();
    private final List<List<Object>> ended = new ArrayList<>();
    private final List<Start> starts = new ArrayList<>();
    private long fence;
    private long leaseUntil;
    private long lastEnd;
    private long milliCores;
    private long sequence;

    Worker(String id, String zone, long milliCores, Store store, Record record) throws IOException {
        this.id = id;
        this.zone = zone;
        this.milliCores = milliCores;
        this.store = store;
        this.record = record;
        this.server = new Http.Server("127.0.0.1", this::answer);
        Http.daemon(this::beat);
        Http.daemon(this::endDueRuns);
    }

    /**
     * A start that this worker has carried out.
     *
     * @param together the processor time of all that ran here just after it, in thousandths of a core
     */
    record Start(String task, long run, String spec, long atMillis, String worker, long together) {}

    private record Run(String task, long number, long startedAt, long endsAt, long milliCores) {}

    synchronized List<Start> starts() {
        return new ArrayList<>(starts);
    }

    /** Changes the capacity, and says so in the store at once. */
    void resize(long newMilliCores) {
        synchronized (this) {
            milliCores = newMilliCores;
        }
        writeEntry();
    }

    private void beat() {
        while (true) {
            writeEntry();
            Store.sleep(HEARTBEAT_MILLIS);
        }
    }

    private synchronized void writeEntry() {
        sequence++;
        store.put(
                "servers",
                id,
                "{\"Service\":\"registry-gw\",\"Addr\":\"" + server.address() + "\",\"Zone\":\"" + zone
                        + "\",\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,\"Capacity\":{\"Cpu\":"
                        + milliCores + ",\"MemMb\":262144,\"Gpu\":0},\"Labels\":[\"a\",\"r1-1\"],\"ClockMs\":" + clock()
                        + ",\"Seq\":" + sequence + "}");
    }

    private long clock() {
        return 1_000 + (System.nanoTime() - startNanos) / 1_000_000;
    }

    private Http.Answer answer(Http.Request request) throws InterruptedException {
        String expected = request.headers().get("x-expect-instance");
        if (expected != null && !expected.equals(id)) {
            return new Http.Answer(421, "");
        }
        Map<String, Object> order = Json.readObject(request.body());
        synchronized (this) {
            long given = (long) order.getOrDefault("Fence", 0L);
            if (given < fence) {
                return refused("fence");
            }
            fence = given;
            return switch (request.path()) {
                case "/run-start" -> start(order);
                case "/run-stop" -> stop(order);
                case "/hold" -> hold(order);
                default -> new Http.Answer(404, "");
            };
        }
    }

    private Http.Answer start(Map<String, Object> order) {
        String task = (String) order.get("Task");
        long number = (long) order.get("Run");
        long until = (long) order.get("UntilMs");
        if (until <= clock()) {
            return refused("late");
        }
        Run known = running.get(task);
        if (known != null && known.number() == number) {
            return accepted();
        }
        extend(until);
        if (number <= lastOver.getOrDefault(task, 0L) || known != null && number <= known.number()) {
            return refused("old");
        }
        String spec = (String) order.get("Spec");
        long milliCoresOfTask = Long.parseLong(spec.split(" ")[1]);
        running.put(task, new Run(task, number, clock(), clock() + Long.parseLong(spec.split(" ")[0]), milliCoresOfTask));
        long together = running.values().stream().mapToLong(Run::milliCores).sum();
        starts.add(new Start(task, number, spec, record.millis(), id, together));
        record.write(id, "starts " + task + " run " + number + "; in use " + together + " of " + milliCores);
        return accepted();
    }

    private Http.Answer stop(Map<String, Object> order) {
        String task = (String) order.get("Task");
        long number = (long) order.get("Run");
        Run known = running.get(task);
        lastOver.merge(task, number, Math::max);
        if (known != null && known.number() <= number) {
            end(known, "stopped");
        }
        return accepted();
    }

    private Http.Answer hold(Map<String, Object> order) throws InterruptedException {
        long acknowledged = (long) order.getOrDefault("AckedUpto", 0L);
        ended.removeIf(end -> (long) end.get(0) <= acknowledged);
        if (order.containsKey("UntilMs")) {
            extend((long) order.get("UntilMs"));
        }
        long answerAt = clock() + (long) order.getOrDefault("WaitMs", 0L);
        while (ended.isEmpty() && clock() < answerAt) {
            wait(Math.max(1, answerAt - clock()));
        }
        List<Object> runs = new ArrayList<>();
        for (Run run : running.values()) {
            long percent = 100 * (clock() - run.startedAt()) / Math.max(1, run.endsAt() - run.startedAt());
            runs.add(List.of(run.task(), run.number(), "", Math.min(99, percent), run.milliCores()));
        }
        return new Http.Answer(
                200,
                "{\"ClockMs\":" + clock() + ",\"Running\":" + Json.write(runs) + ",\"Ended\":" + Json.write(ended) + "}");
    }

    private void extend(long until) {
        leaseUntil = Math.max(leaseUntil, Math.min(until, clock() + MAX_LEASE_MILLIS));
    }

    private void endDueRuns() {
        while (true) {
            Store.sleep(2);
            synchronized (this) {
                for (Run run : new ArrayList<>(running.values())) {
                    if (run.endsAt() <= clock()) {
                        end(run, "done");
                    } else if (leaseUntil <= clock()) {
                        end(run, "lapsed");
                    }
                }
            }
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task());
        lastOver.merge(run.task(), run.number(), Math::max);
        lastEnd++;
        ended.add(List.of(lastEnd, run.task(), run.number(), how, ""));
        if (!how.equals("done")) {
            record.write(id, how + " " + run.task() + " run " + run.number());
        }
        notifyAll();
    }

    private Http.Answer accepted() {
        return new Http.Answer(200, "{\"ClockMs\":" + clock() + "}");
    }

    private Http.Answer refused(String reason) {
        return new Http.Answer(409, "{\"ClockMs\":" + clock() + ",\"Reason\":\"" + reason + "\"}");
    }
}
