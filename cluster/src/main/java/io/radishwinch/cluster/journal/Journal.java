package io.radishwinch.cluster.journal;

import io.smallrye.mutiny.Uni;

/**
 * Record of non-repeatable requests, by which each runs at most once in the whole fleet.
 *
 * <p>A request may be sent to an endpoint only after {@link #begin} returned {@link Decision.Granted}, and once only.
 */
public interface Journal {

    /**
     * Asks for the permission to run a request.
     *
     * @param caller name of the caller
     * @param idempotencyKey the caller's key, at most 255 bytes
     * @param fingerprint hash of the content
     * @return the decision; never fails
     */
    Uni<Decision> begin(String caller, String idempotencyKey, byte[] fingerprint);

    /**
     * Records the answer, so that it can be replayed.
     *
     * @param outcome encoded answer, at most 64 KiB
     * @return false if it could not be recorded; the request then stays in doubt
     */
    Uni<Boolean> complete(Decision.Granted grant, byte[] outcome);

    /**
     * Gives the permission back. Allowed only if no byte was sent to an endpoint.
     *
     * @return false if it could not be recorded; the request then stays in doubt
     */
    Uni<Boolean> abandon(Decision.Granted grant);

    /** Answer to {@link #begin}. */
    sealed interface Decision {
        /**
         * The request may run once.
         *
         * @param caller name of the caller
         * @param idempotencyKey the caller's key
         * @param fingerprint hash of the content
         * @param nonce unique mark of the permission
         */
        record Granted(String caller, String idempotencyKey, byte[] fingerprint, String nonce) implements Decision {}

        /**
         * The request ran before.
         *
         * @param outcome encoded answer of that run
         */
        record Replay(byte[] outcome) implements Decision {}

        /** A run with this key holds the permission and has not ended. */
        record InProgress() implements Decision {}

        /** A run with this key was started and its outcome is lost. */
        record OutcomeUnknown() implements Decision {}

        /** The key was used with other content. */
        record KeyReused() implements Decision {}

        /** The permission cannot be recorded now; nothing ran. */
        record Unavailable() implements Decision {}
    }
}
