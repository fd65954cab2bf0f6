package io.radishwinch.server.admin;

import io.radishwinch.config.contract.ConfigObjectReader;
import io.radishwinch.config.contract.ObjectKind;
import io.radishwinch.core.model.Contract;
import io.radishwinch.report.DaySummary;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** In-memory router control with fixed responses. Versions start at 100 and the clock does not advance. */
public final class FakeRouterControl implements RouterControl {
    /** Current time of the router, 2026-12-03T18:00:00Z. */
    public static final long NOW_MS = 1_796_320_800_000L;

    private final Map<String, StoredDocument> objects = new TreeMap<>();
    private long version = 100;

    public final Map<String, Double> boundTokensPerS = new TreeMap<>(Map.of("dreamcoach-24l", 1000.0));
    public final List<DaySummary> summaries = new ArrayList<>();
    public Optional<String> notReadyReason = Optional.empty();
    public boolean isFailing;
    public boolean isUnresponsive;

    /** Stores an object on behalf of another operator and returns its version. */
    public synchronized long store(ObjectKind kind, String name, String text, String operator) {
        objects.put(kind.key(name), new StoredDocument(name, ++version, text, operator, NOW_MS - 60_000));
        return version;
    }

    @Override
    public Uni<FleetStatus> status() {
        if (isUnresponsive) {
            return Uni.createFrom().nothing();
        }
        if (isFailing) {
            return Uni.createFrom().failure(new ControlException(503, "the control thread is busy", "try again"));
        }
        return Uni.createFrom()
                .item(new FleetStatus(
                        "r-1",
                        "dc-1",
                        "0.1.0",
                        NOW_MS - 3_600_000,
                        version,
                        false,
                        NOW_MS - 42_000,
                        false,
                        List.of(
                                new RouterStatus("r-1", "dc-1", "alive", version),
                                new RouterStatus("r-2", "dc-2", "suspected", 98)),
                        List.of(
                                new PoolStatus("dreamcoach-24l", 12, 1, 2, true, 1000),
                                new PoolStatus("service:orders", 0, 0, 0, false, 0)),
                        List.of(new RankStatus("interactive", 0, 14), new RankStatus("batch", 230, 6)),
                        List.of("the object API has not answered for 42 s; charges are refused not-run")));
    }

    @Override
    public Uni<Optional<RequestExplanation>> explainRequest(String requestId) {
        return Uni.createFrom()
                .item(
                        requestId.equals("q-7")
                                ? Optional.of(new RequestExplanation(
                                        "q-7",
                                        "app-members",
                                        "batch",
                                        "dreamcoach-24l",
                                        "finished",
                                        "not-run",
                                        "rate-limited",
                                        "Refused after 0 ms: app-members used 120 of its 100 tokens/s.",
                                        "Wait 1 s, or raise limits.tokensPerS of the contract.",
                                        List.of(
                                                new Step(NOW_MS - 10, "arrived"),
                                                new Step(NOW_MS - 9, "refused: rate-limited, not-run"))))
                                : Optional.empty());
    }

    @Override
    public Uni<Optional<CallerExplanation>> explainCaller(String caller) {
        StoredDocument contract = objects.get(ObjectKind.CONTRACT.key(caller));
        return Uni.createFrom()
                .item(Optional.ofNullable(contract)
                        .map(found -> new CallerExplanation(
                                caller,
                                found.version(),
                                caller + " is over limits.tokensPerS; 3 requests were refused today.",
                                List.of(new LimitUse("limits.tokensPerS", 100, 50, 61.5)),
                                List.of(new CallerRank("interactive", 40, 37, 0, 2)),
                                Map.of("rate-limited", 3L))));
    }

    @Override
    public synchronized Uni<Optional<StoredDocument>> getObject(ObjectKind kind, String name) {
        return Uni.createFrom().item(Optional.ofNullable(objects.get(kind.key(name))));
    }

    @Override
    public synchronized Uni<List<StoredDocument>> listObjects(ObjectKind kind) {
        return Uni.createFrom()
                .item(objects.entrySet().stream()
                        .filter(entry -> entry.getKey().startsWith(kind.key("")))
                        .map(Map.Entry::getValue)
                        .toList());
    }

    @Override
    public synchronized Uni<ChangeResult> putObject(
            ObjectKind kind, String name, String text, long expectedVersion, ChangeStamp change) {
        return write(kind, name, expectedVersion, new StoredDocument(name, 0, text, change.operator(), change.atMs()));
    }

    @Override
    public synchronized Uni<ChangeResult> deleteObject(
            ObjectKind kind, String name, long expectedVersion, ChangeStamp change) {
        return write(kind, name, expectedVersion, null);
    }

    private Uni<ChangeResult> write(ObjectKind kind, String name, long expectedVersion, StoredDocument next) {
        StoredDocument current = objects.get(kind.key(name));
        if ((current == null ? 0 : current.version()) != expectedVersion) {
            return Uni.createFrom().item(new ChangeResult.Conflict(Optional.ofNullable(current)));
        }
        version++;
        if (next == null) {
            objects.remove(kind.key(name));
        } else {
            objects.put(
                    kind.key(name),
                    new StoredDocument(name, version, next.text(), next.changedBy(), next.changedAtMs()));
        }
        return Uni.createFrom().item(new ChangeResult.Changed(version));
    }

    @Override
    public Uni<Optional<DrainProgress>> drainVm(String vmId, ChangeStamp change) {
        return Uni.createFrom()
                .item(
                        vmId.equals("vm-17")
                                ? Optional.of(new DrainProgress(
                                        vmId, 4, NOW_MS + 60_000, "no new work; 4 requests finish first"))
                                : Optional.empty());
    }

    @Override
    public Multi<DaySummary> daySummaries(LocalDate day) {
        return Multi.createFrom()
                .iterable(summaries)
                .filter(summary -> summary.day().date().equals(day));
    }

    @Override
    public Map<String, String> settingsInEffect() {
        return new TreeMap<>(Map.of("caller.port", "8080", "admin.port", "8081"));
    }

    @Override
    public Map<String, Double> boundTokensPerSByPool() {
        return boundTokensPerS;
    }

    @Override
    public synchronized Collection<Contract> contracts() {
        return listObjects(ObjectKind.CONTRACT).await().indefinitely().stream()
                .map(document -> ConfigObjectReader.readContract(document.name(), document.text())
                        .get())
                .toList();
    }

    @Override
    public boolean isHealthy() {
        return true;
    }

    @Override
    public Optional<String> notReadyReason() {
        return notReadyReason;
    }

    @Override
    public String metricsText() {
        return "requests_refused_total{reason=\"rate-limited\"} 3\n";
    }

    @Override
    public long nowMs() {
        return NOW_MS;
    }
}
