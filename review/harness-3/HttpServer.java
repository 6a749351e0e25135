import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An HTTP/1.1 server with one thread for each connection, and a link that can be cut.
 *
 * <p>While the link is cut, requests on connections that were open before are held, and are handled when the link is
 * whole again unless their sender has reset the connection. Connections that are opened meanwhile carry nothing: their
 * first packet would be lost.
 */
final class HttpServer {
    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Object link = new Object();
    private boolean cut;
    private volatile boolean closed;

    HttpServer(String ip, int port, Handler handler) throws IOException {
        this.handler = handler;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
        daemon(this::accept, "listener " + address());
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Cuts the link silently. */
    void cut() {
        synchronized (link) {
            cut = true;
        }
    }

    /** Makes the link whole again. */
    void heal() {
        synchronized (link) {
            cut = false;
            link.notifyAll();
        }
    }

    /** Stops listening and closes every connection, as when the process dies. */
    void close() {
        closed = true;
        heal();
        closeQuietly(listener);
        open.forEach(HttpServer::closeQuietly);
    }

    static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                boolean lost = isCut();
                daemon(() -> serve(socket, lost), "connection " + socket.getRemoteSocketAddress());
            } catch (IOException e) {
                if (!closed) {
                    throw new IllegalStateException(e);
                }
            }
        }
    }

    private boolean isCut() {
        synchronized (link) {
            return cut;
        }
    }

    /** Waits while the link is cut; returns whether it was. */
    private boolean awaitLink() throws InterruptedException {
        synchronized (link) {
            boolean wasCut = cut;
            while (cut) {
                link.wait();
            }
            return wasCut;
        }
    }

    private void serve(Socket socket, boolean lost) {
        try (socket) {
            if (lost) {
                awaitLink();
                return;
            }
            InputStream in = socket.getInputStream();
            while (!closed) {
                Request request = read(in);
                if (request == null) {
                    return;
                }
                if (awaitLink() && isReset(socket)) {
                    return;
                }
                Response response = handler.handle(request);
                if (response == null) {
                    Thread.sleep(60_000);
                    return;
                }
                if (awaitLink() && isReset(socket)) {
                    return;
                }
                byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + response.status() + " -\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length + "\r\n\r\n";
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                out.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
                out.writeBytes(body);
                socket.getOutputStream().write(out.toByteArray());
            }
        } catch (IOException | InterruptedException e) {
            // The other end is gone.
        } finally {
            open.remove(socket);
        }
    }

    private static boolean isReset(Socket socket) {
        try {
            socket.setSoTimeout(1);
            socket.getInputStream().read();
            return false;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        } finally {
            try {
                socket.setSoTimeout(0);
            } catch (IOException e) {
                // Closed meanwhile.
            }
        }
    }

    private static Request read(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int last = 0;
        while ((last = in.read()) >= 0) {
            head.write(last);
            if (last == '\n' && head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
                break;
            }
        }
        if (last < 0) {
            return null;
        }
        String[] lines = head.toString(StandardCharsets.US_ASCII).split("\r\n");
        Map<String, String> headers = new HashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        String[] first = lines[0].split(" ");
        int mark = first[1].indexOf('?');
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String pair : first[1].substring(mark + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts.length < 2 ? "" : parts[1], StandardCharsets.UTF_8));
            }
        }
        String path = mark < 0 ? first[1] : first[1].substring(0, mark);
        return new Request(first[0], path, query, headers, new String(body, StandardCharsets.UTF_8));
    }

    static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            // Closed already.
        }
    }

    /** Handles one request; a response of null is never sent, and the connection goes silent. */
    interface Handler {
        Response handle(Request request) throws InterruptedException;
    }

    record Request(
            String method, String path, Map<String, String> query, Map<String, String> headers, String body) {}

    record Response(int status, String body) {
        static Response json(int status, Object... members) {
            return new Response(status, Json.write(Json.of(members)));
        }
    }
}
