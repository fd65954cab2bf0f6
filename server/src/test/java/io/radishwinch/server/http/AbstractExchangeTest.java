package io.radishwinch.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Reason;
import io.radishwinch.server.logguard.ExpectsInternalErrors;
import io.vertx.core.http.HttpServerRequest;
import java.net.Socket;
import org.junit.jupiter.api.Test;

/** Guards against requests that the core holds although their exchange has ended. */
class AbstractExchangeTest {

    /** Exchange that can neither start an attempt nor release its endpoint. */
    private static final class FailingExchange extends AbstractExchange<ExchangeContext> {
        FailingExchange(ExchangeContext shared, HttpServerRequest request) {
            super(shared, ExchangeFixture.request("m", true), request, 0);
        }

        @Override
        protected void startAttempt(Action.StartAttempt attempt) {
            throw new IllegalStateException("no attempt");
        }

        @Override
        protected void cancelAttempt(int epoch, Reason reason) {}

        @Override
        protected void releaseEndpoint() {
            throw new IllegalStateException("endpoint not released");
        }

        @Override
        protected void completeResponse() {}
    }

    /** Guards against a caller without an answer, and a core that waits for the end of its attempt. */
    @Test
    @ExpectsInternalErrors
    void aRequestWhoseEndpointCannotBeReleasedIsRefusedAndWithdrawn() throws Exception {
        try (ExchangeFixture fixture = new ExchangeFixture(FailingExchange::new);
                Socket caller = fixture.call("HTTP/1.1")) {
            fixture.decideStart(1);
            assertThat(fixture.await(Event.CallerDisconnected.class).requestId())
                    .isEqualTo(ExchangeFixture.REQUEST_ID);
            assertThat(ExchangeFixture.readHead(caller)).startsWith("HTTP/1.1 5");
        }
    }
}
