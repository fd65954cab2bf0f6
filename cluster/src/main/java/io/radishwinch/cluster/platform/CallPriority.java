package io.radishwinch.cluster.platform;

/** Order in which queued calls are made. */
public enum CallPriority {
    /** Calls that a request waits for, such as journal writes. */
    URGENT,
    /** Configuration, fencing tokens and watches. */
    NORMAL,
    /** Compaction, deletion and summaries. */
    BACKGROUND
}
