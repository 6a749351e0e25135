import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A sound stand-in for a worker that does not guard its capacity: obeys the highest fence, ends what runs when its lease
 * expires, lists runs and ends. A task takes as many milliseconds as the number at the start of its Spec.
 */
final class Worker {
    /** One run as the worker saw it; an end of 0 means that it still runs. */
    record Run(String worker, String task, int run, long startedAt, long endedAt, String how) {}

    private static final long HOLD_MAX_MILLIS = 1_000;
    private static final Pattern MEMBER = Pattern.compile("\"(\\w+)\":(?:\"([^\"]*)\"|(-?\\d+))");

    private static final class Running {
        String task;
        int number;
        long startedAt;
        long dueAt;
    }

    private final String id;
    private final String zone;
    private final Store store;
    private final HttpServer server;
    private final Map<String, Running> running = new LinkedHashMap<>();
    private final TreeMap<Long, String> ended = new TreeMap<>();
    private final Map<String, Integer> lastOver = new HashMap<>();
    private final List<Run> ledger = new ArrayList<>();
    private long fence;
    private long leaseUntil;
    private long lastEnd;
    private long seq;

    Worker(String id, String ip, String zone, Store store) throws IOException {
        this.id = id;
        this.zone = zone;
        this.store = store;
        server = HttpServer.create(new InetSocketAddress(ip, 0), 0);
        server.setExecutor(Executors.newCachedThreadPool(Threads.daemon()));
        server.createContext("/", this::handle);
        server.start();
        Thread beats = Threads.daemon().newThread(this::beat);
        register();
        beats.start();
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** Returns every run so far. */
    synchronized List<Run> ledger() {
        advance();
        List<Run> all = new ArrayList<>(ledger);
        running.values().forEach(run -> all.add(new Run(id, run.task, run.number, run.startedAt, 0, "running")));
        return all;
    }

    private void beat() {
        try {
            while (true) {
                Thread.sleep(1_500);
                register();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void register() {
        seq++;
        store.put("servers", id, "{\"Service\":\"proof-board\",\"Addr\":\""
                + server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort()
                + "\",\"Zone\":\"" + zone + "\",\"Version\":\"1\",\"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,"
                + "\"Capacity\":{\"Cpu\":16000,\"MemMb\":32768},\"Labels\":[\"a\",\"r1\"],\"Seq\":" + seq + "}");
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            Map<String, String> order = members(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
            String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
            if (expected != null && !expected.equals(id)) {
                exchange.sendResponseHeaders(421, -1);
                return;
            }
            String path = exchange.getRequestURI().getPath();
            String refusal = "";
            String lists = "";
            synchronized (this) {
                advance();
                long sent = Long.parseLong(order.getOrDefault("Fence", "0"));
                if (sent < fence) {
                    refusal = "fence";
                } else {
                    fence = sent;
                    switch (path) {
                        case "/run-start" -> refusal = start(order);
                        case "/run-stop" -> stop(order);
                        case "/hold" -> lists = hold(order);
                        default -> refusal = "unknown";
                    }
                }
            }
            String json = "{\"ClockMs\":" + now() + (refusal.isEmpty() ? "" : ",\"Reason\":\"" + refusal + "\"") + lists + "}";
            byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(refusal.isEmpty() ? 200 : 409, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String start(Map<String, String> order) {
        String task = order.get("Task");
        int number = Integer.parseInt(order.get("Run"));
        long until = Long.parseLong(order.get("UntilMs"));
        if (until <= now()) {
            return "late";
        }
        extend(until);
        Running present = running.get(task);
        if (present != null && present.number == number) {
            return "";
        }
        if (number <= lastOver.getOrDefault(task, 0)) {
            return "old";
        }
        Running run = new Running();
        run.task = task;
        run.number = number;
        run.startedAt = now();
        Matcher millis = Pattern.compile("^\\d+").matcher(order.get("Spec"));
        run.dueAt = now() + (millis.find() ? Long.parseLong(millis.group()) : 60);
        running.put(task, run);
        return "";
    }

    private void stop(Map<String, String> order) {
        String task = order.get("Task");
        int number = Integer.parseInt(order.get("Run"));
        lastOver.merge(task, number, Math::max);
        Running present = running.get(task);
        if (present != null && present.number <= number) {
            end(present, "stopped", now());
        }
    }

    private String hold(Map<String, String> order) throws InterruptedException {
        ended.headMap(Long.parseLong(order.getOrDefault("AckedUpto", "0")), true).clear();
        if (order.containsKey("UntilMs")) {
            extend(Long.parseLong(order.get("UntilMs")));
        }
        long waitUntil = now() + Math.min(2_000, Long.parseLong(order.getOrDefault("WaitMs", "0")));
        while (ended.isEmpty() && now() < waitUntil) {
            wait(3);
            advance();
        }
        List<String> rows = new ArrayList<>();
        for (Running run : running.values()) {
            long percent = 100 * (now() - run.startedAt) / Math.max(1, run.dueAt - run.startedAt);
            rows.add("[\"" + run.task + "\"," + run.number + ",\"\"," + Math.min(99, percent) + "]");
        }
        return ",\"Running\":[" + String.join(",", rows) + "],\"Ended\":[" + String.join(",", ended.values()) + "]";
    }

    private void extend(long until) {
        leaseUntil = Math.max(leaseUntil, Math.min(until, now() + HOLD_MAX_MILLIS));
    }

    private void advance() {
        for (Running run : List.copyOf(running.values())) {
            if (run.dueAt <= Math.min(now(), leaseUntil)) {
                end(run, "done", run.dueAt);
            } else if (leaseUntil <= now()) {
                end(run, "lapsed", leaseUntil);
            }
        }
    }

    private void end(Running run, String how, long at) {
        running.remove(run.task);
        lastOver.merge(run.task, run.number, Math::max);
        lastEnd++;
        ended.put(lastEnd, "[" + lastEnd + ",\"" + run.task + "\"," + run.number + ",\"" + how + "\",\"\"]");
        ledger.add(new Run(id, run.task, run.number, run.startedAt, at, how));
        notifyAll();
    }

    private static Map<String, String> members(String json) {
        Map<String, String> members = new HashMap<>();
        Matcher member = MEMBER.matcher(json);
        while (member.find()) {
            members.put(member.group(1), member.group(2) != null ? member.group(2) : member.group(3));
        }
        return members;
    }
}
