package io.radishwinch.cluster.platform;

/** Order in which calls that wait for the budget are made. */
public enum CallPriority {
    /** Calls that a request waits for, such as journal writes. */
    URGENT,
    /** Configuration, fencing numbers and watches. */
    NORMAL,
    /** Compaction, deletion and summaries. */
    BACKGROUND
}
