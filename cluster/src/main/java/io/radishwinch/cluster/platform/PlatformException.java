package io.radishwinch.cluster.platform;

/** A call to the platform failed. */
public final class PlatformException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Kind kind;

    /** Creates an exception of the given kind. */
    public PlatformException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /** Returns what is known of the effect of the call. */
    public Kind kind() {
        return kind;
    }

    /** What is known of the effect of a failed call. */
    public enum Kind {
        /** The call was not sent, or was refused before it had an effect. */
        NO_EFFECT,
        /** The answer was lost; a write may have taken effect. */
        EFFECT_UNKNOWN,
        /** History asked for by a watch is no longer held. */
        HISTORY_EXPIRED
    }
}
