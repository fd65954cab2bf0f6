package io.radishwinch.cluster.journal;

import io.smallrye.mutiny.Uni;
import java.util.Optional;

/** Port to the journal of another router, which is the preferred writer of a shard. */
public interface JournalPeer {

    /**
     * Sends a request. The request may arrive twice; its nonce makes it idempotent.
     *
     * @return the reply, or a failure if none arrived; the request may then still take effect
     */
    Uni<Reply> call(Request request);

    /** Step of a request. */
    enum Step {
        /** Requests the grant. */
        OPEN,
        /** Records the outcome. */
        COMPLETE,
        /** Releases the grant. */
        ABANDON
    }

    /** Result of a request. */
    enum Result {
        /** The nonce of the request holds the grant. */
        GRANTED,
        /** The request has already run; the reply carries the outcome. */
        REPLAY,
        /** Another nonce holds the grant, and its router is alive. */
        IN_PROGRESS,
        /** Another nonce holds the grant, and its outcome is lost or was not kept. */
        OUTCOME_UNKNOWN,
        /** The key was used with other content. */
        KEY_REUSED,
        /** The step was not recorded. */
        UNAVAILABLE,
        /** The outcome or the release of the grant is recorded. */
        RECORDED
    }

    /**
     * A step of one non-repeatable request.
     *
     * @param step step
     * @param caller name of the caller
     * @param idempotencyKey idempotency key of the caller
     * @param fingerprint hash of the content
     * @param grantNonce nonce of the grant, created by the router that will run the request
     * @param outcome encoded response of {@link Step#COMPLETE} if it is small enough to be kept, otherwise empty
     */
    record Request(
            Step step,
            String caller,
            String idempotencyKey,
            byte[] fingerprint,
            String grantNonce,
            Optional<byte[]> outcome) {}

    /**
     * The reply to a request.
     *
     * @param result result
     * @param grantNonce nonce of the request; empty with {@link Result#UNAVAILABLE} if nothing was recorded for the
     *     request and nothing will be
     * @param outcome encoded response with {@link Result#REPLAY}, otherwise empty
     */
    record Reply(Result result, String grantNonce, Optional<byte[]> outcome) {
        static Reply of(Result result, String grantNonce) {
            return new Reply(result, grantNonce, Optional.empty());
        }

        /**
         * Returns whether the request may have been recorded, or may still be, although the result does not show it.
         */
        public boolean isInDoubt() {
            return result == Result.UNAVAILABLE && !grantNonce.isEmpty();
        }
    }
}
