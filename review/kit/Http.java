import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Just enough HTTP/1.1 for clients and servers of the cases. */
final class Http {
    /** The head and body of a message. */
    static final class Message {
        String first;
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];
        /** Whether the message ended as its framing says. */
        boolean whole;

        String header(String name) {
            for (String[] header : headers) {
                if (header[0].equalsIgnoreCase(name)) {
                    return header[1];
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Receives the pieces of a body as they arrive. */
    interface Pieces {
        void piece(byte[] data);
    }

    private Http() {}

    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        message.first = line(in);
        if (message.first == null) {
            return null;
        }
        for (String line = line(in); ; line = line(in)) {
            if (line == null) {
                throw new EOFException("the head broke off");
            }
            if (line.isEmpty()) {
                return message;
            }
            int colon = line.indexOf(':');
            message.headers.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
        }
    }

    /** Reads a body by its framing; leaves {@code whole} unset and returns if the channel breaks first. */
    static void readBody(InputStream in, Message message, boolean answer, Pieces pieces) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            String coding = message.header("Transfer-Encoding");
            String length = message.header("Content-Length");
            if (coding != null && coding.toLowerCase(Locale.ROOT).contains("chunked")) {
                while (true) {
                    String size = line(in);
                    if (size == null) {
                        throw new EOFException();
                    }
                    int bytes = Integer.parseInt(size.split(";")[0].trim(), 16);
                    if (bytes == 0) {
                        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
                            // Trailers are skipped.
                        }
                        message.whole = true;
                        return;
                    }
                    byte[] data = in.readNBytes(bytes);
                    body.writeBytes(data);
                    if (pieces != null) {
                        pieces.piece(data);
                    }
                    if (data.length < bytes || line(in) == null) {
                        throw new EOFException();
                    }
                }
            } else if (length != null) {
                byte[] data = in.readNBytes(Integer.parseInt(length));
                body.writeBytes(data);
                message.whole = data.length == Integer.parseInt(length);
            } else {
                if (answer) {
                    body.writeBytes(in.readAllBytes());
                }
                message.whole = true;
            }
        } finally {
            message.body = body.toByteArray();
        }
    }

    /** Sends a request on a new channel and reads its answer; null if the channel ends without an answer. */
    static Message call(String address, String method, String path, List<String> headers, byte[] body, int timeoutMillis)
            throws IOException {
        try (Socket socket = connect(address, timeoutMillis)) {
            return exchange(socket, address, method, path, headers, body, null);
        }
    }

    static Socket connect(String address, int timeoutMillis) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                1_000);
        socket.setSoTimeout(timeoutMillis);
        return socket;
    }

    static Message exchange(
            Socket socket, String host, String method, String path, List<String> headers, byte[] body, Pieces pieces)
            throws IOException {
        send(socket, host, method, path, headers, body);
        return answer(socket, pieces);
    }

    static void send(Socket socket, String host, String method, String path, List<String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        if (headers.stream().noneMatch(header -> header.startsWith("Host:"))) {
            head.append("Host: ").append(host).append("\r\n");
        }
        headers.forEach(header -> head.append(header).append("\r\n"));
        if (body.length > 0 || !method.equals("GET")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        OutputStream out = socket.getOutputStream();
        byte[] bytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[bytes.length + body.length];
        System.arraycopy(bytes, 0, all, 0, bytes.length);
        System.arraycopy(body, 0, all, bytes.length, body.length);
        out.write(all);
        out.flush();
    }

    static Message answer(Socket socket, Pieces pieces) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        Message message = readHead(in);
        if (message != null) {
            try {
                readBody(in, message, true, pieces);
            } catch (IOException e) {
                message.whole = false;
            }
        }
        return message;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
        return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
    }
}
