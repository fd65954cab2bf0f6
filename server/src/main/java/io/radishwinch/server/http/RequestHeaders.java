package io.radishwinch.server.http;

import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RankTerms;
import io.radishwinch.core.model.Reason;
import io.vavr.control.Either;
import io.vertx.core.MultiMap;

/** Parses the rank, deadline and idempotency key of a request, with the defaults of the contract. */
final class RequestHeaders {
    static final String RANK = "X-Radishwinch-Rank";
    static final String DEADLINE_MS = "X-Radishwinch-Deadline-Ms";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private static final int MAX_KEY_LENGTH = 255;
    private static final int MAX_DIGITS = 12;
    private static final String TRACEPARENT = "traceparent";
    private static final int MAX_TRACEPARENT_LENGTH = 256;

    private RequestHeaders() {}

    /** Parses the headers of a request. Returns a refusal if a header is malformed or the rank is not allowed. */
    static Either<Refusal, CallerRequest> read(MultiMap headers, Contract contract, String requestId, long nowMs) {
        return rank(headers, contract)
                .flatMap(rank -> timeoutMs(headers, contract.ranks().get(rank)).map(timeoutMs -> {
                    String trace = headers.get(TRACEPARENT);
                    String traceparent = trace == null || trace.length() > MAX_TRACEPARENT_LENGTH ? null : trace;
                    return new CallerRequest(requestId, contract, rank, nowMs, nowMs + timeoutMs, traceparent);
                }));
    }

    /** Returns whether the idempotency key is absent or has a valid length. */
    static boolean isKeyValid(String key) {
        return key == null || !key.isBlank() && key.length() <= MAX_KEY_LENGTH;
    }

    private static Either<Refusal, Rank> rank(MultiMap headers, Contract contract) {
        String name = headers.get(RANK);
        if (name == null) {
            return Either.right(contract.defaultRank());
        }
        Rank rank = Rank.fromWireName(name).orElse(null);
        if (rank == null) {
            return Either.left(
                    Refusal.notRun(Reason.MALFORMED_REQUEST, RANK + " must be interactive, account-action or batch"));
        }
        if (!contract.ranks().containsKey(rank)) {
            return Either.left(Refusal.notRun(Reason.FORBIDDEN, "the contract does not allow rank " + name));
        }
        return Either.right(rank);
    }

    /** Returns the timeout of a request in ms. A caller may shorten the timeout of its contract but not extend it. */
    private static Either<Refusal, Long> timeoutMs(MultiMap headers, RankTerms terms) {
        String value = headers.get(DEADLINE_MS);
        if (value == null) {
            return Either.right(terms.timeoutMs());
        }
        boolean isNumeric = !value.isEmpty()
                && value.length() <= MAX_DIGITS
                && value.chars().allMatch(c -> c >= '0' && c <= '9');
        if (!isNumeric || Long.parseLong(value) == 0) {
            return Either.left(
                    Refusal.notRun(Reason.MALFORMED_REQUEST, DEADLINE_MS + " must be a positive whole number of ms"));
        }
        return Either.right(Math.min(Long.parseLong(value), terms.timeoutMs()));
    }
}
