package io.radishwinch.cluster.journal;

import io.radishwinch.cluster.journal.JournalPeer.Reply;
import io.radishwinch.cluster.journal.JournalPeer.Request;
import io.radishwinch.cluster.journal.JournalPeer.Step;
import java.lang.System.Logger.Level;
import java.util.function.Consumer;

/** A queued step of a shard. */
final class PendingStep {
    private static final System.Logger LOGGER = System.getLogger(PendingStep.class.getName());

    private final Request request;
    private final Hash128 key;
    private final Consumer<Reply> replyReceiver;
    private boolean hasReplied;
    private boolean isFresh;
    private boolean isCommitted;
    private long sentSequence;

    PendingStep(Request request, Hash128 key, Consumer<Reply> done) {
        this.request = request;
        this.key = key;
        this.replyReceiver = done;
    }

    Request request() {
        return request;
    }

    Step step() {
        return request.step();
    }

    String nonce() {
        return request.grantNonce();
    }

    Hash128 key() {
        return key;
    }

    int sizeBytes() {
        return 256 + request.outcome().map(outcome -> outcome.length).orElse(0);
    }

    boolean hasReplied() {
        return hasReplied;
    }

    /** Sends the reply to the step, unless it was sent before. */
    void reply(Reply reply) {
        if (!hasReplied) {
            hasReplied = true;
            try {
                replyReceiver.accept(reply);
            } catch (RuntimeException e) {
                // An exception of the receiver must not stop the shard, which would then refuse all later requests.
                LOGGER.log(Level.ERROR, "receiver of a journal reply failed", e);
            }
        }
    }

    /** Returns whether the log was read after the step arrived. */
    boolean isFresh() {
        return isFresh;
    }

    void markFresh() {
        isFresh = true;
    }

    /** Returns whether a batch with the record of the step was accepted. */
    boolean isCommitted() {
        return isCommitted;
    }

    void markCommitted() {
        isCommitted = true;
    }

    /** Records that a create with the given sequence number carried the record of the step; 0 means that none did. */
    void setSentSequence(long sequence) {
        sentSequence = sequence;
    }

    /**
     * Returns whether a record of this step may exist, or may still be written, that the state in memory does not
     * contain.
     */
    boolean mayBeRecorded() {
        return sentSequence > 0;
    }

    /** Clears the sequence number of the create if all batches before {@code nextSequence} are known. */
    void clearSentSequenceBefore(long nextSequence) {
        if (sentSequence < nextSequence) {
            sentSequence = 0;
        }
    }
}
