package io.radishwinch.server;

import io.radishwinch.server.metrics.RouterMetrics;
import io.vertx.core.Vertx;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Logs and counts exceptions that only a fault of this program explains. Thread-safe. */
public final class InternalErrors {
    private static final System.Logger LOG = System.getLogger(InternalErrors.class.getName());

    private final Map<Part, AtomicLong> counts = new EnumMap<>(Part.class);

    /** Part of the program in which an exception was caught. */
    public enum Part {
        /** A task of the control thread. */
        CONTROL,
        /** The handling of a request, which ends with an error. */
        EXCHANGE,
        /** An observer that logs or counts; what it observes goes on. */
        OBSERVER,
        /** A handler of an event loop that belongs to no request. */
        HANDLER;

        private final String wireName = name().toLowerCase(Locale.ROOT);
    }

    /** Creates counters with the value 0. */
    public InternalErrors() {
        for (Part part : Part.values()) {
            counts.put(part, new AtomicLong());
        }
    }

    /** Exports the counters. */
    public void bindTo(RouterMetrics metrics) {
        counts.forEach((part, count) -> metrics.functionCounter(
                "radishwinch.errors.internal",
                "exceptions that a fault of the router explains",
                "part",
                part.wireName,
                count::get));
    }

    /**
     * Receives the exceptions that the handlers of an event loop throw.
     *
     * @param thread name of the event loop
     */
    public void receiveFrom(Vertx vertx, String thread) {
        vertx.exceptionHandler(error -> report(Part.HANDLER, "of " + thread, error));
    }

    /**
     * Logs and counts an exception.
     *
     * @param subject request or task that it concerns
     */
    public void report(Part part, String subject, Throwable error) {
        counts.get(part).incrementAndGet();
        LOG.log(System.Logger.Level.ERROR, "internal error, " + part.wireName + " " + subject, error);
    }

    /** Runs an observer, whose exceptions are reported and have no effect on what it observes. */
    public void observe(String subject, Runnable observer) {
        try {
            observer.run();
        } catch (RuntimeException | Error e) {
            report(Part.OBSERVER, subject, e);
        }
    }

    /** Returns the number of exceptions in a part. */
    public long count(Part part) {
        return counts.get(part).get();
    }
}
