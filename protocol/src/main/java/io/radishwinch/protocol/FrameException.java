package io.radishwinch.protocol;

import java.io.IOException;

/** Thrown when a frame cannot be encoded or decoded; a connection that received such a frame must be closed. */
public final class FrameException extends IOException {

    private static final long serialVersionUID = 1L;

    private final Kind kind;

    FrameException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    FrameException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /** Returns the kind of fault. */
    public Kind kind() {
        return kind;
    }

    /** Kinds of faults that make a frame invalid. */
    public enum Kind {
        /** The length is not positive or exceeds the limit. */
        LENGTH,
        /** The content is not a valid frame. */
        MALFORMED,
        /** The sender uses another protocol version. */
        VERSION
    }
}
