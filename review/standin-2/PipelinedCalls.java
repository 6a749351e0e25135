import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A client sends three idempotent requests on one connection without waiting for the answers between them.
 *
 * <p>With TROUBLE=0 it waits for each answer before it sends the next request.
 */
public final class PipelinedCalls {
    private static final String DONE = "00000000000000bb";
    private static final String RUNNING = "00000000000000aa";
    private static final String OTHER = "00000000000000cc";
    private static final Pattern BODY = Pattern.compile("\\{[^}]*\\}");

    public static void main(String[] arguments) {
        World.run(() -> play(arguments));
    }

    private static void play(String[] arguments) throws Exception {
        boolean waits = System.getenv().getOrDefault("TROUBLE", "1").equals("0");
        try (World world = new World(Path.of(arguments[0]))) {
            world.addWorker("espoo-a", 64_000);
            world.addNode("espoo-a", 0.75);
            world.addNode("vantaa-b", 0.75);
            world.startAll();
            world.awaitReady();
            Store.sleep(3_000);
            Node node = world.nodes.get(0);
            world.post(node, DONE, 1, 50, 5_000, 1_500);
            Http.daemon(() -> world.post(node, RUNNING, 1, 1_200, 5_000, 3_000));
            Store.sleep(200);
            if (world.startsOf(RUNNING).size() != 1) {
                world.end(World.COULD_NOT_RUN, "the job does not run");
            }
            List<String> requests = List.of(request("DELETE", OTHER), request("GET", RUNNING), request("GET", DONE));
            List<String> answers = answers(world, node, requests, waits);
            world.record.write("client", "answers in the order of arrival: " + answers);
            if (answers.size() < requests.size()) {
                world.end(World.COULD_NOT_RUN, "not all requests were answered");
            }
            boolean runs = world.startsOf(RUNNING).size() == 1;
            if (runs && answers.get(1).contains("done")) {
                world.end(World.BROKEN, "MIXED broken: the answer to the GET of a running job says done: " + answers);
            }
            world.end(World.HELD, "MIXED held: " + answers);
        }
    }

    private static String request(String method, String job) {
        return method + " " + World.PREFIX + job + " HTTP/1.1\r\nHost: " + World.HOST + "\r\nContent-Length: 0\r\n\r\n";
    }

    private static List<String> answers(World world, Node node, List<String> requests, boolean waits) throws IOException {
        int colon = node.front().lastIndexOf(':');
        List<String> answers = new ArrayList<>();
        try (Socket socket =
                new Socket(node.front().substring(0, colon), Integer.parseInt(node.front().substring(colon + 1)))) {
            socket.setSoTimeout(600);
            StringBuilder text = new StringBuilder();
            int sent = 0;
            while (answers.size() < requests.size()) {
                while (sent < requests.size() && (!waits || sent == answers.size())) {
                    String request = requests.get(sent);
                    world.record.write("client", "sends " + request.substring(0, request.indexOf(" HTTP")));
                    socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                    sent++;
                }
                int c = read(socket.getInputStream());
                if (c < 0) {
                    return answers;
                }
                text.append((char) c);
                Matcher body = BODY.matcher(text);
                if (body.find()) {
                    answers.add(body.group());
                    text.setLength(0);
                }
            }
        }
        return answers;
    }

    private static int read(InputStream in) {
        try {
            return in.read();
        } catch (IOException e) {
            return -1;
        }
    }
}
