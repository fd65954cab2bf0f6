package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's metadata store: objects by kind and name, one revision counter, watches. */
final class Store {
    private record Stored(String name, long revision, long created, String specification, String status) {
        String json() {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision + ",\"created\":" + created
                    + ",\"finalizers\":[],\"deletion_pending\":false},\"specification\":" + specification
                    + ",\"status\":" + status + "}";
        }
    }

    private record Change(long revision, String kind, Stored object, boolean deleted) {}

    private final Map<String, TreeMap<String, Stored>> kinds = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final ServerSocket server;
    private long revision = 100;

    Store(String host) throws IOException {
        server = new ServerSocket(0, 1_000, InetAddress.getByName(host));
        Threads.start("store", this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Writes an object as the operator, a worker or another writer. Returns its revision. */
    synchronized long put(String kind, String name, String specification) {
        TreeMap<String, Stored> objects = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
        Stored known = objects.get(name);
        if (known != null && known.specification.equals(specification)) {
            return known.revision;
        }
        Stored stored =
                new Stored(name, ++revision, known == null ? revision : known.created, specification, "null");
        objects.put(name, stored);
        record(new Change(revision, kind, stored, false));
        return revision;
    }

    synchronized void remove(String kind, String name) {
        Stored known = kinds.computeIfAbsent(kind, key -> new TreeMap<>()).remove(name);
        if (known != null) {
            Stored last = new Stored(name, ++revision, known.created, known.specification, known.status);
            record(new Change(revision, kind, last, true));
        }
    }

    synchronized int sizeOf(String kind, String name) {
        Stored stored = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        return stored == null ? 0 : stored.json().length();
    }

    private void record(Change change) {
        history.add(change);
        notifyAll();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            Threads.start("store call", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                String body = new String(Http.readBody(in, head), StandardCharsets.UTF_8);
                String[] result = handle(head, body);
                byte[] bytes = result[1].getBytes(StandardCharsets.UTF_8);
                Http.write(
                        out,
                        "HTTP/1.1 " + result[0] + " X\r\nContent-Type: application/json\r\nContent-Length: "
                                + bytes.length + "\r\n\r\n" + new String(bytes, StandardCharsets.ISO_8859_1));
            }
        }
    }

    private String[] handle(Http.Head head, String body) {
        String[] target = head.target().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (target.length == 2) {
            for (String pair : target[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], parts.length == 2 ? decode(parts[1]) : "");
            }
        }
        String[] path = target[0].split("/");
        if (path.length < 4 || !target[0].startsWith("/radishwinch/objects/")) {
            return answer(404, "{\"error\":\"no such path\"}");
        }
        String kind = decode(path[3]);
        String name = path.length > 4 ? decode(path[4]) : "";
        return switch (head.method()) {
            case "GET" -> query.containsKey("watch")
                    ? watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")))
                    : name.isEmpty() ? list(kind, query.getOrDefault("after", "")) : get(kind, name);
            case "POST" -> write(kind, Json.unquote(Json.members(Json.members(body).get("metadata")).get("name")), body, true);
            case "PUT" -> write(kind, name, body, false);
            case "DELETE" -> delete(kind, name, query.get("revision"));
            default -> answer(405, "{}");
        };
    }

    private synchronized String[] list(String kind, String after) {
        StringBuilder items = new StringBuilder();
        int count = 0;
        boolean hasMore = false;
        for (Stored stored : kinds.getOrDefault(kind, new TreeMap<>()).tailMap(after, false).values()) {
            if (count == 500 || items.length() > 1_048_576) {
                hasMore = true;
                break;
            }
            items.append(count++ == 0 ? "" : ",").append(stored.json());
        }
        return answer(200, "{\"items\":[" + items + "],\"has_more\":" + hasMore + ",\"at\":" + revision + "}");
    }

    private synchronized String[] get(String kind, String name) {
        Stored stored = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        return stored == null ? answer(404, "{\"error\":\"no such object\"}") : answer(200, stored.json());
    }

    private synchronized String[] watch(String kind, long from, long waitMs) {
        long deadline = System.currentTimeMillis() + Math.min(waitMs, 30_000);
        while (true) {
            StringBuilder events = new StringBuilder();
            for (Change change : history) {
                if (change.revision > from && change.kind.equals(kind)) {
                    events.append(events.length() == 0 ? "" : ",")
                            .append("{\"deleted\":" + change.deleted + ",\"object\":" + change.object.json() + "}");
                }
            }
            long left = deadline - System.currentTimeMillis();
            if (events.length() > 0 || left <= 0) {
                return answer(200, "{\"events\":[" + events + "],\"at\":" + revision + "}");
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                return answer(503, "{}");
            }
        }
    }

    private synchronized String[] write(String kind, String name, String body, boolean isNew) {
        TreeMap<String, Stored> objects = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
        Map<String, String> object = Json.members(body);
        String expected = Json.members(object.getOrDefault("metadata", "{}")).get("revision");
        Stored known = objects.get(name);
        if (isNew ? known != null : known != null && expected != null && known.revision != Long.parseLong(expected)) {
            return answer(409, known.json());
        }
        if (!isNew && known == null) {
            return answer(404, "{\"error\":\"no such object\"}");
        }
        put(kind, name, object.getOrDefault("specification", "null"));
        return answer(isNew ? 201 : 200, objects.get(name).json());
    }

    private synchronized String[] delete(String kind, String name, String expected) {
        Stored known = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        if (known == null) {
            return answer(404, "{\"error\":\"no such object\"}");
        }
        if (expected != null && known.revision != Long.parseLong(expected)) {
            return answer(409, known.json());
        }
        remove(kind, name);
        return answer(200, known.json());
    }

    private static String[] answer(int status, String body) {
        return new String[] {Integer.toString(status), body};
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }
}
