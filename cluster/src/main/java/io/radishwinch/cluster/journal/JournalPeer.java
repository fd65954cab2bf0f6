package io.radishwinch.cluster.journal;

import io.smallrye.mutiny.Uni;
import java.util.Optional;

/** Port to the journal of another router, the preferred writer of a shard. */
public interface JournalPeer {

    /**
     * Sends a request. The same request may arrive twice; its nonce makes it idempotent.
     *
     * @return the reply, or a failure if none arrived; the request may then still take effect
     */
    Uni<Reply> call(Request request);

    /** Step of a request. */
    enum Step {
        /** Asks for the grant. */
        OPEN,
        /** Records the outcome. */
        COMPLETE,
        /** Gives the grant back. */
        ABANDON
    }

    /** Result of a request. */
    enum Result {
        /** The nonce of the request holds the grant. */
        GRANTED,
        /** The request ran; the reply carries the outcome. */
        REPLAY,
        /** Another nonce holds the grant and its router is alive. */
        IN_PROGRESS,
        /** Another nonce holds the grant and its outcome is lost. */
        OUTCOME_UNKNOWN,
        /** The key was used with other content. */
        KEY_REUSED,
        /** The step was not recorded. */
        UNAVAILABLE,
        /** The outcome or the return of the grant is recorded. */
        RECORDED
    }

    /**
     * A step of one non-repeatable request.
     *
     * @param step step
     * @param caller name of the caller
     * @param idempotencyKey the caller's key
     * @param fingerprint hash of the content
     * @param grantNonce mark of the grant, made by the router that will run the request
     * @param outcome encoded answer of {@link Step#COMPLETE} if it is small enough to be kept, otherwise empty
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
     * @param grantNonce nonce of the request; empty with {@link Result#UNAVAILABLE} if the request left no trace and
     *     will leave none
     * @param outcome encoded answer with {@link Result#REPLAY}, otherwise empty
     */
    record Reply(Result result, String grantNonce, Optional<byte[]> outcome) {
        static Reply of(Result result, String grantNonce) {
            return new Reply(result, grantNonce, Optional.empty());
        }

        /** Returns whether the request may have been recorded or may yet be, although the result does not say so. */
        public boolean isInDoubt() {
            return result == Result.UNAVAILABLE && !grantNonce.isEmpty();
        }
    }
}
