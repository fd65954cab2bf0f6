package io.radishwinch.server;

import io.micrometer.core.instrument.Counter;
import io.radishwinch.cluster.journal.JournalListener;
import io.radishwinch.server.metrics.RouterMetrics;

/** Exports the journal's events as metrics. */
final class JournalCounters implements JournalListener {
    private final Counter commits;
    private final Counter records;
    private final Counter conflicts;
    private final Counter recoveries;
    private final Counter peerFailures;
    private final Counter overflows;

    JournalCounters(RouterMetrics metrics) {
        commits = metrics.counter("radishwinch.journal.commits", "batches written to the journal");
        records = metrics.counter("radishwinch.journal.records", "records written to the journal");
        conflicts = metrics.counter("radishwinch.journal.conflicts", "batches that another router's batch preceded");
        recoveries = metrics.counter("radishwinch.journal.recoveries", "shards read from the platform");
        peerFailures = metrics.counter("radishwinch.journal.peer.failures", "preferred writers that did not answer");
        overflows = metrics.counter("radishwinch.journal.overflows", "steps refused at a bound of the journal");
    }

    @Override
    public void onCommit(int shard, int batchRecords, int bytes) {
        commits.increment();
        records.increment(batchRecords);
    }

    @Override
    public void onConflict(int shard) {
        conflicts.increment();
    }

    @Override
    public void onRecovery(int shard, int keys, long durationMs) {
        recoveries.increment();
    }

    @Override
    public void onPeerFailure(int shard) {
        peerFailures.increment();
    }

    @Override
    public void onLimitExceeded(int shard) {
        overflows.increment();
    }
}
