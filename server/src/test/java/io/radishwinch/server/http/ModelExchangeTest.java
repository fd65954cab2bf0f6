package io.radishwinch.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import java.net.Socket;
import org.junit.jupiter.api.Test;

/** Guards against completions that break off and reach the caller as complete ones. */
class ModelExchangeTest {
    private static final String ENGINE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static ExchangeFixture fixture() throws Exception {
        CompletionRequest completion = new CompletionRequest(false, "m", "p", 8, true, false);
        return new ExchangeFixture((shared, request) ->
                new ModelExchange(shared, ExchangeFixture.request("m", true), completion, request, 0));
    }

    private static String line(String fields) {
        String line = "{\"request\":\"" + ExchangeFixture.REQUEST_ID + "\",\"epoch\":1," + fields + "}\n";
        return Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
    }

    /** Guards against a stream without its last tokens that a client of HTTP framing alone takes for whole. */
    @Test
    void refusalDuringAStreamSendsTheErrorAndBreaksOffTheResponse() throws Exception {
        try (ExchangeFixture fixture = fixture()) {
            Socket caller = fixture.call("HTTP/1.1");
            Socket engine = fixture.startAttempt(1);
            ExchangeFixture.write(
                    engine,
                    ENGINE_HEAD
                            + line("\"type\":\"accepted\",\"endpoint\":\"e\"")
                            + line("\"type\":\"token\",\"seq\":0,\"text\":\"t\",\"layers\":[[0,1]],\"stageUs\":[1]"));
            assertThat(ExchangeFixture.readHead(caller)).startsWith("HTTP/1.1 200");
            fixture.await(Event.FirstToken.class);
            fixture.decide(
                    new Action.Refuse(ExchangeFixture.REQUEST_ID, Reason.DEADLINE_EXCEEDED, Verdict.MAY_HAVE_RUN, 0));
            String rest = fixture.readAll();
            assertThat(rest).contains("data: {\"error\"").contains("deadline-exceeded");
            assertThat(rest).doesNotContain("[DONE]").doesNotEndWith(ExchangeFixture.LAST_CHUNK);
            engine.close();
        }
    }
}
