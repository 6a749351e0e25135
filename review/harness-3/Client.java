import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Makes one HTTP call for each connection. */
final class Client {
    private Client() {}

    /**
     * Makes a call.
     *
     * @param timeoutMillis how long to wait for the answer
     */
    static Answer call(String ip, int port, String method, String path, String body, long timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) timeoutMillis);
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: jobs.example\r\nX-Deadline-Ms: " + timeoutMillis
                    + "\r\nContent-Type: application/json\r\nContent-Length: " + content.length + "\r\n\r\n";
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
            return read(socket.getInputStream());
        } catch (IOException e) {
            return new Answer(0, e.toString());
        }
    }

    private static Answer read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("no answer");
            }
            head.append((char) next);
        }
        int length = 0;
        for (String line : head.toString().split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
        return new Answer(Integer.parseInt(head.substring(9, 12)), body);
    }

    /** @param status the HTTP status; 0 without an answer */
    record Answer(int status, String body) {
        @Override
        public String toString() {
            return status == 0 ? "no answer (" + body + ")" : status + " " + body;
        }
    }
}
