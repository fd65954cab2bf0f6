package io.radishwinch.server.http;

import io.vertx.core.Future;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;

/** Complete responses that wait for their connections to take them. Confined to one traffic thread. */
final class PendingWrites {
    private final Set<Future<Void>> unwritten = Collections.newSetFromMap(new IdentityHashMap<>());

    /** Adds a response that was handed to its connection; it is removed when it is written or its connection fails. */
    void add(Future<Void> written) {
        if (!written.isComplete()) {
            unwritten.add(written);
            written.onComplete(ignored -> unwritten.remove(written));
        }
    }

    /** Returns a future that succeeds when no response that was added before this call is pending. */
    Future<Void> whenWritten() {
        return Future.join(List.copyOf(unwritten)).<Void>mapEmpty().otherwiseEmpty();
    }
}
