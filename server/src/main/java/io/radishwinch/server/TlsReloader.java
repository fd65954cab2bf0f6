package io.radishwinch.server;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Applies changed certificate and key files to running servers and clients. New connections use the new files and open
 * connections are not affected. If the new files are invalid, the previous ones stay in effect.
 */
final class TlsReloader {
    private static final System.Logger LOG = System.getLogger(TlsReloader.class.getName());

    private final List<Target> targets = new ArrayList<>();

    /** A server or client, its files with their modification times, and its reload function. */
    private record Target(
            String name, List<String> files, Supplier<Future<Boolean>> reload, Map<String, FileTime> lastModified) {}

    /**
     * Adds a server or client.
     *
     * @param files files that it uses; empty names are ignored
     * @param reload reloads the files
     */
    void add(String name, List<String> files, Supplier<Future<Boolean>> reload) {
        List<String> used = files.stream().filter(file -> !file.isEmpty()).toList();
        if (!used.isEmpty()) {
            targets.add(new Target(name, used, reload, modificationTimes(used)));
        }
    }

    /** Starts to check for changed files periodically. */
    void start(Vertx vertx, long intervalMs) {
        if (!targets.isEmpty()) {
            vertx.setPeriodic(intervalMs, ignored -> reloadChanged());
        }
    }

    /** Reloads the files that have changed since the last call. */
    void reloadChanged() {
        for (Target target : targets) {
            Map<String, FileTime> current = modificationTimes(target.files());
            if (!current.equals(target.lastModified())) {
                target.lastModified().putAll(current);
                target.reload()
                        .get()
                        .onSuccess(done -> LOG.log(System.Logger.Level.INFO, "{0}: reloaded TLS files", target.name()))
                        .onFailure(error -> LOG.log(
                                System.Logger.Level.ERROR,
                                "{0}: failed to reload TLS files, the previous ones stay in effect: {1}",
                                target.name(),
                                Failures.describe(error)));
            }
        }
    }

    private static Map<String, FileTime> modificationTimes(List<String> files) {
        Map<String, FileTime> times = new HashMap<>();
        for (String file : files) {
            try {
                times.put(file, Files.getLastModifiedTime(Path.of(file)));
            } catch (IOException e) {
                times.put(file, FileTime.fromMillis(0));
            }
        }
        return times;
    }
}
