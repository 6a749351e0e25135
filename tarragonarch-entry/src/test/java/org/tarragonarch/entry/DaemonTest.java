package org.tarragonarch.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.entry.settings.NodeSettings;
import org.tarragonarch.entry.settings.NodeSettingsReader;
import org.tarragonarch.model.outcome.StepException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class DaemonTest {
    private static final int PORTS = 4;

    @DataProvider
    public Object[][] ports() {
        return new Object[][] {{0}, {1}, {2}};
    }

    // A node is started twice by mistake. The second must name the port in use and release the ports that it bound.
    @Test(dataProvider = "ports")
    public void testStart_portTaken(int taken) throws Exception {
        List<Integer> ports = freePorts();
        try (ServerSocket holder = new ServerSocket(ports.get(taken), 1, InetAddress.getLoopbackAddress())) {
            StepException thrown = expectThrows(StepException.class, () -> Daemon.start(settings(ports)));
            assertTrue(thrown.getCause() instanceof BindException, thrown.toString());
            assertTrue(thrown.peer().contains(":" + holder.getLocalPort()), thrown.peer());
        }
        for (int port : ports) {
            Eventually.check("port " + port + " is free", () -> !listens(port));
        }
    }

    @Test
    public void testDrainAndStop_withoutPlatform() throws Exception {
        List<Integer> ports = freePorts();
        Daemon daemon = Daemon.start(settings(ports));
        assertEquals(status(ports.get(0), "/ready"), 503);
        assertEquals(status(ports.get(1), "/health/live"), 200);
        assertEquals(status(ports.get(1), "/health/ready"), 503);
        assertTrue(daemon.drainAndStop("test"));
        assertFalse(listens(ports.get(0)));
    }

    @Test
    public void testCommandLine_exitCodes() throws IOException {
        Path good = Files.createTempFile("good", ".jsonc");
        Path bad = Files.createTempFile("bad", ".jsonc");
        try {
            Files.writeString(good, text(freePorts()));
            Files.writeString(bad, "{}");
            assertEquals(EntryMain.commandLine().execute("check", "--settings", good.toString()), ExitCode.OK);
            assertEquals(EntryMain.commandLine().execute("check", "--settings", bad.toString()), ExitCode.USAGE);
            assertEquals(EntryMain.commandLine().execute("--settings", bad.toString()), ExitCode.USAGE);
            assertEquals(EntryMain.commandLine().execute("--settings", bad + ".missing"), ExitCode.USAGE);
            assertEquals(EntryMain.commandLine().execute(), ExitCode.USAGE);
            assertEquals(EntryMain.commandLine().execute("--help"), ExitCode.OK);
            assertEquals(EntryMain.commandLine().execute("--version"), ExitCode.OK);
            assertEquals(EntryMain.commandLine().execute("replay", bad.toString()), ExitCode.FAILURE);
        } finally {
            Files.delete(good);
            Files.delete(bad);
        }
    }

    private static NodeSettings settings(List<Integer> ports) throws StepException {
        return NodeSettingsReader.read("test.jsonc", text(ports).getBytes(StandardCharsets.UTF_8));
    }

    private static String text(List<Integer> ports) {
        return """
                { "node": "hobart-1", "domain": "hobart", "policy": {"drain-delay": "0s"},
                  "caller-address": "127.0.0.1:%d", "admin-address": "127.0.0.1:%d",
                  "peer-address": "127.0.0.1:%d", "platform-address": "127.0.0.1:%d" }
                """.formatted(ports.toArray());
    }

    private static List<Integer> freePorts() throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < PORTS; i++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            }
            return sockets.stream().map(ServerSocket::getLocalPort).toList();
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }

    private static boolean listens(int port) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    private static int status(int port, String path) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .build();
        return HttpClient.newHttpClient()
                .send(request, BodyHandlers.discarding())
                .statusCode();
    }
}
