package io.radishwinch.cluster.journal;

import io.smallrye.mutiny.Uni;

/**
 * Journal of non-repeatable requests, which ensures that each runs at most once in the whole fleet.
 *
 * <p>A request may be sent to an endpoint only after {@link #begin} returned {@link Decision.Granted}, and only once.
 */
public interface Journal {

    /**
     * Requests the grant to run a request.
     *
     * @param caller name of the caller
     * @param idempotencyKey idempotency key of the caller; with more than 255 bytes in UTF-8 the decision is
     *     {@link Decision.Unavailable}
     * @param fingerprint hash of the content
     * @return the decision; never fails
     */
    Uni<Decision> begin(String caller, String idempotencyKey, byte[] fingerprint);

    /**
     * Records the outcome of a run, so that it can be replayed.
     *
     * @param outcome encoded response, at most 64 KiB
     * @return false if the outcome could not be recorded; the request then stays in doubt
     */
    Uni<Boolean> complete(Decision.Granted grant, byte[] outcome);

    /**
     * Releases the grant. Allowed only if no byte was sent to an endpoint.
     *
     * @return false if the release could not be recorded; the request then stays in doubt
     */
    Uni<Boolean> abandon(Decision.Granted grant);

    /** Decision of {@link #begin}. */
    sealed interface Decision {
        /**
         * The request may run once.
         *
         * @param caller name of the caller
         * @param idempotencyKey idempotency key of the caller
         * @param fingerprint hash of the content
         * @param nonce unique identifier of the grant
         */
        record Granted(String caller, String idempotencyKey, byte[] fingerprint, String nonce) implements Decision {}

        /**
         * The request has already run.
         *
         * @param outcome encoded response of that run
         */
        record Replay(byte[] outcome) implements Decision {}

        /** Another run with this key holds the grant and has not ended. */
        record InProgress() implements Decision {}

        /** A run with this key was started, and its outcome is lost or was not kept. */
        record OutcomeUnknown() implements Decision {}

        /** The key was used with other content. */
        record KeyReused() implements Decision {}

        /** The grant cannot be recorded at present; nothing ran. */
        record Unavailable() implements Decision {}
    }
}
