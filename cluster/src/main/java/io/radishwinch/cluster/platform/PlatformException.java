package io.radishwinch.cluster.platform;

/** Thrown when a call to the platform fails. */
public final class PlatformException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Kind kind;

    /** Creates an exception of the given kind. */
    public PlatformException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /** Returns the known effect of the call. */
    public Kind kind() {
        return kind;
    }

    /** Known effect of a failed call. */
    public enum Kind {
        /** The call was not sent, or was rejected before it had an effect. */
        NO_EFFECT,
        /** The response was lost; a write may have taken effect. */
        EFFECT_UNKNOWN,
        /** The history that a watch requested has expired. */
        HISTORY_EXPIRED,
        /**
         * The store was restored from an older copy between what the call rests on and its response. A write may have
         * taken effect and be lost since, or have replaced an object that its caller has not read.
         */
        STORE_RESTORED
    }
}
