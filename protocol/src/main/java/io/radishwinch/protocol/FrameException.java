package io.radishwinch.protocol;

import java.io.IOException;

/** A frame that cannot be encoded or decoded; the connection it came from cannot be used any further. */
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

    /** Returns what is wrong with the frame. */
    public Kind kind() {
        return kind;
    }

    /** Classes of faulty frames, each a counter label. */
    public enum Kind {
        /** The length prefix is negative, zero or above the limit. */
        LENGTH,
        /** The content is not a valid frame. */
        MALFORMED,
        /** The sender speaks another protocol version. */
        VERSION
    }
}
