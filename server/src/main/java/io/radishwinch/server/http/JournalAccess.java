package io.radishwinch.server.http;

import io.radishwinch.cluster.journal.Journal;
import io.radishwinch.server.ControlLoop;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Calls the journal on the control thread and takes the result back to the traffic thread. */
public final class JournalAccess {
    private static final System.Logger LOG = System.getLogger(JournalAccess.class.getName());

    private final ControlLoop control;
    private final Journal journal;

    /** Creates an access to a journal that the control thread owns. */
    public JournalAccess(ControlLoop control, Journal journal) {
        this.control = control;
        this.journal = journal;
    }

    /** Asks for the permission to run a request; the receiver runs on the given context. */
    void begin(Context context, String caller, String key, byte[] fingerprint, Consumer<Journal.Decision> receiver) {
        call(context, () -> journal.begin(caller, key, fingerprint), new Journal.Decision.Unavailable(), receiver);
    }

    /** Records the answer; the receiver gets whether that succeeded. */
    void complete(Context context, Journal.Decision.Granted grant, byte[] outcome, Consumer<Boolean> receiver) {
        call(context, () -> journal.complete(grant, outcome), false, receiver);
    }

    /** Gives the permission back; allowed only if no byte was sent to an endpoint. */
    void abandon(Context context, Journal.Decision.Granted grant, Consumer<Boolean> receiver) {
        call(context, () -> journal.abandon(grant), false, receiver);
    }

    private <T> void call(Context context, Supplier<Uni<T>> call, T onFailure, Consumer<T> receiver) {
        control.execute(() -> call.get()
                .subscribe()
                .with(result -> context.runOnContext(ignored -> receiver.accept(result)), error -> {
                    LOG.log(System.Logger.Level.ERROR, "journal call failed", error);
                    context.runOnContext(ignored -> receiver.accept(onFailure));
                }));
    }
}
