package io.radishwinch.server.fleet;

import io.radishwinch.server.proxy.EndpointNoticeListener;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Applies what endpoints announce about themselves in their responses. Any thread may call it. */
final class EndpointNotices implements EndpointNoticeListener {

    private final EndpointRegistry registry;
    private final Consumer<Runnable> control;
    private final LongSupplier clock;

    /**
     * Creates a receiver.
     *
     * @param registry endpoints, used on the control thread only
     * @param control runs tasks on the control thread
     */
    EndpointNotices(EndpointRegistry registry, Consumer<Runnable> control, LongSupplier clock) {
        this.registry = registry;
        this.control = control;
        this.clock = clock;
    }

    @Override
    public void leaving(String endpointId) {
        if (!registry.hasAnnouncedLeaving(endpointId)) {
            control.accept(() -> registry.markLeavingByItself(endpointId, clock.getAsLong()));
        }
    }
}
