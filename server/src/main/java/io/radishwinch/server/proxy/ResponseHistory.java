package io.radishwinch.server.proxy;

import io.radishwinch.core.model.Verdict;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** What endpoints have responded to a request before. Confined to one traffic thread. */
final class ResponseHistory {

    private final EndpointConnectionPool connections;
    private final Set<String> refusingEndpointIds = new HashSet<>();
    private final Map<String, Set<String>> sealsByEndpointId = new HashMap<>();

    ResponseHistory(EndpointConnectionPool connections) {
        this.connections = connections;
    }

    /**
     * Returns whether an endpoint that repeats its responses has refused the request. A copy of that refusal would end
     * another attempt there, whose run nobody would read.
     */
    boolean mayRepeatRefusal(EndpointContact contact) {
        return refusingEndpointIds.contains(contact.endpointId()) && connections.mayRepeatResponses(contact);
    }

    /**
     * Records a refusal, and returns whether it proves that the attempt did not run. A refusal of an endpoint that
     * repeats its responses may be a copy: of that of another request if it names none, and of the endpoint's first one
     * of this request otherwise, because it does not name the attempt.
     */
    Verdict verdictOf(EndpointContact contact, ResponseHead refusal) {
        boolean isFirst = refusingEndpointIds.add(contact.endpointId());
        boolean isProof = refusal.requestId().isPresent() && isFirst || !connections.mayRepeatResponses(contact);
        return isProof ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
    }

    /** Records a complete error response to a run of the request. */
    void recordError(EndpointContact contact, Optional<String> seal) {
        seal.filter(text -> !text.isEmpty()).ifPresent(text -> sealsByEndpointId
                .computeIfAbsent(contact.endpointId(), key -> new HashSet<>())
                .add(text));
    }

    /** Returns the seals of the error responses of an endpoint so far. */
    Set<String> sealsOf(EndpointContact contact) {
        return Set.copyOf(sealsByEndpointId.getOrDefault(contact.endpointId(), Set.of()));
    }
}
