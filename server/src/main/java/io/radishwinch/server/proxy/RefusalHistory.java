package io.radishwinch.server.proxy;

import io.radishwinch.core.model.Verdict;
import java.util.HashSet;
import java.util.Set;

/** Endpoints that have refused a request. Confined to one traffic thread. */
final class RefusalHistory {

    private final EndpointConnectionPool connections;
    private final Set<String> endpointIds = new HashSet<>();

    RefusalHistory(EndpointConnectionPool connections) {
        this.connections = connections;
    }

    /**
     * Returns whether an endpoint that repeats its responses has refused the request. A copy of that refusal would end
     * another attempt there, whose run nobody would read.
     */
    boolean mayRepeatRefusal(EndpointContact contact) {
        return endpointIds.contains(contact.endpointId()) && connections.mayRepeatResponses(contact);
    }

    /**
     * Records a refusal, and returns whether it proves that the attempt did not run. A refusal of an endpoint that
     * repeats its responses may be a copy: of that of another request if it names none, and of the endpoint's first one
     * of this request otherwise, because it does not name the attempt.
     */
    Verdict verdictOf(EndpointContact contact, ResponseHead refusal) {
        boolean isFirst = endpointIds.add(contact.endpointId());
        boolean isProof = refusal.requestId().isPresent() && isFirst || !connections.mayRepeatResponses(contact);
        return isProof ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
    }
}
