package io.radishwinch.server.http;

import io.radishwinch.cluster.journal.Journal;
import io.radishwinch.server.ControlLoop;
import io.radishwinch.server.InternalErrors;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Calls the journal on the control thread and returns the results on the calling traffic thread. A call that fails
 * counts as unavailable or as not recorded, so that each receiver is called.
 */
public final class JournalAccess {
    private final ControlLoop control;
    private final Journal journal;

    /** Creates an accessor of a journal that is confined to the control thread. */
    public JournalAccess(ControlLoop control, Journal journal) {
        this.control = control;
        this.journal = journal;
    }

    /** Requests a grant to run a non-repeatable request. The receiver is called on the given context. */
    void begin(Context context, String caller, String key, byte[] fingerprint, Consumer<Journal.Decision> receiver) {
        call(context, () -> journal.begin(caller, key, fingerprint), new Journal.Decision.Unavailable(), receiver);
    }

    /** Records the outcome of a granted request. The receiver gets true if it was recorded. */
    void complete(Context context, Journal.Decision.Granted grant, byte[] outcome, Consumer<Boolean> receiver) {
        call(context, () -> journal.complete(grant, outcome), false, receiver);
    }

    /** Returns an unused grant; allowed only if no byte was sent to an endpoint. The receiver gets true on success. */
    void abandon(Context context, Journal.Decision.Granted grant, Consumer<Boolean> receiver) {
        call(context, () -> journal.abandon(grant), false, receiver);
    }

    private <T> void call(Context context, Supplier<Uni<T>> call, T onFailure, Consumer<T> receiver) {
        control.execute(() -> Uni.createFrom()
                .deferred(call::get)
                .subscribe()
                .with(result -> context.runOnContext(ignored -> receiver.accept(result)), error -> {
                    control.errors().report(InternalErrors.Part.CONTROL, "journal call", error);
                    context.runOnContext(ignored -> receiver.accept(onFailure));
                }));
    }
}
