import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A minimal HTTP/1.1 server and client. */
final class Http {
    private Http() {}

    /** Answers requests; an empty answer of status 0 means that the connection delivers nothing further. */
    interface Handler {
        Answer answer(Request request) throws Exception;
    }

    record Answer(int status, String body) {}

    record Request(String method, String path, Map<String, String> query, Map<String, String> headers, String body) {
        String query(String name) {
            return query.getOrDefault(name, "");
        }
    }

    /** A server with a thread for each connection. */
    static final class Server {
        private final ServerSocket socket;
        private final Handler handler;

        Server(String ip, Handler handler) throws IOException {
            this.socket = new ServerSocket();
            this.handler = handler;
            socket.bind(new InetSocketAddress(ip, 0), 512);
            daemon(this::accept);
        }

        String address() {
            return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
        }

        private void accept() {
            while (true) {
                try {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    daemon(() -> serve(connection));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                while (true) {
                    Request request = readRequest(in);
                    if (request == null) {
                        return;
                    }
                    Answer answer = handler.answer(request);
                    if (answer.status() == 0) {
                        // Nothing further is delivered; the connection stays open until the caller closes it.
                        while (in.read() >= 0) {
                            continue;
                        }
                        return;
                    }
                    byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
                    String head = "HTTP/1.1 " + answer.status() + " -\r\nContent-Type: application/json\r\nContent-Length: "
                            + body.length + "\r\n\r\n";
                    write(connection.getOutputStream(), head, body);
                }
            } catch (Exception e) {
                // The caller has closed the connection.
            }
        }
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends one request on a new connection; returns status 0 if no answer came in time. */
    static Answer call(String address, String method, String target, String headers, String body, int timeoutMillis) {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(
                    new InetSocketAddress(
                            InetAddress.getByName(address.substring(0, colon)),
                            Integer.parseInt(address.substring(colon + 1))),
                    1_000);
            socket.setSoTimeout(timeoutMillis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + target + " HTTP/1.1\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n";
            write(socket.getOutputStream(), head, bytes);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String statusLine = readLine(in);
            if (statusLine == null) {
                return new Answer(0, "");
            }
            Map<String, String> answered = readHeaders(in);
            int length = Integer.parseInt(answered.getOrDefault("content-length", "0"));
            return new Answer(Integer.parseInt(statusLine.split(" ")[1]), read(in, length));
        } catch (IOException e) {
            return new Answer(0, "");
        }
    }

    private static void write(OutputStream out, String head, byte[] body) throws IOException {
        byte[] first = head.getBytes(StandardCharsets.US_ASCII);
        byte[] all = new byte[first.length + body.length];
        System.arraycopy(first, 0, all, 0, first.length);
        System.arraycopy(body, 0, all, first.length, body.length);
        out.write(all);
        out.flush();
    }

    private static Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        String[] parts = line.split(" ");
        Map<String, String> headers = readHeaders(in);
        String body = read(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
        int mark = parts[1].indexOf('?');
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String pair : parts[1].substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return new Request(parts[0], mark < 0 ? parts[1] : parts[1].substring(0, mark), query, headers, body);
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        String line = readLine(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            line = readLine(in);
        }
        return headers;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int c = in.read();
        while (c >= 0 && c != '\n') {
            if (c != '\r') {
                line.append((char) c);
            }
            c = in.read();
        }
        return c < 0 && line.length() == 0 ? null : line.toString();
    }

    private static String read(InputStream in, int length) throws IOException {
        return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }
}
