package io.radishwinch.server;

import io.radishwinch.cluster.PeerNode;
import io.radishwinch.cluster.configuration.ConfigurationObject;
import io.radishwinch.cluster.membership.MemberInfo;
import io.radishwinch.cluster.platform.PlatformClient;
import io.radishwinch.cluster.platform.PlatformClient.PutResult;
import io.radishwinch.cluster.platform.PlatformClient.StoredObject;
import io.radishwinch.config.contract.ObjectKind;
import io.radishwinch.config.settings.RouterSettings;
import io.radishwinch.config.settings.SettingKey;
import io.radishwinch.core.DecisionCore.CoreView;
import io.radishwinch.core.DecisionCore.EndpointView;
import io.radishwinch.core.DecisionCore.PoolView;
import io.radishwinch.core.DecisionCore.RequestView;
import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.report.DaySummary;
import io.radishwinch.server.admin.ChangeStamp;
import io.radishwinch.server.admin.ControlException;
import io.radishwinch.server.admin.RouterControl;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;

/** Implements the operators' API on the state of the control thread. */
final class AdminControl implements RouterControl {
    private static final String RELEASE = "0.1.0";
    private static final int HTTP_UNAVAILABLE = 503;

    private final ControlPlane plane;
    private final RouterSettings settings;
    private final ControlLoop control;
    private final PeerNode node;
    private final ConfigurationFollower configuration;
    private final PlatformHealth platformHealth;
    private final PlatformClient platform;
    private final DaySummaryService daySummaries;
    private final EndpointTracker endpoints;
    private final Supplier<FleetConfig> config;
    private final Supplier<String> metrics;
    private final Supplier<Optional<String>> notReady;
    private final ExplanationBuilder explanations;
    private final long startedAtMs = System.currentTimeMillis();

    /** Creates the adapter. Its components are used on the control thread unless they are thread-safe. */
    AdminControl(ControlPlane plane, Supplier<String> metrics, Supplier<Optional<String>> notReady) {
        this.plane = plane;
        this.settings = plane.settings();
        this.control = plane.control();
        this.node = plane.node();
        this.configuration = plane.configuration();
        this.platformHealth = plane.platformHealth();
        this.platform = plane.platform();
        this.daySummaries = plane.daySummaries();
        this.endpoints = plane.endpoints();
        this.config = plane::config;
        this.metrics = metrics;
        this.notReady = notReady;
        this.explanations = new ExplanationBuilder(plane);
    }

    @Override
    public Uni<FleetStatus> status() {
        return runOnControlThread(() -> {
            CoreView view = control.core().view();
            return new FleetStatus(
                    node.self().id(),
                    node.self().dataCentre(),
                    RELEASE,
                    startedAtMs,
                    config.get().version(),
                    platformHealth.isReachable(),
                    platformHealth.lastReachedAtMs(),
                    notReady.get()
                            .map(reason -> reason.equals(RouterProcess.DRAINING_REASON))
                            .orElse(false),
                    routers(),
                    pools(view),
                    explanations.rankStatuses(view),
                    notices(view));
        });
    }

    private List<RouterStatus> routers() {
        List<MemberInfo> members = new ArrayList<>(node.members());
        members.add(node.self());
        node.remoteDataCentres().forEach(name -> members.addAll(node.remoteMembers(name)));
        return members.stream()
                .sorted(Comparator.comparing(MemberInfo::dataCentre).thenComparing(MemberInfo::id))
                .map(member -> new RouterStatus(
                        member.id(),
                        member.dataCentre(),
                        member.state().name().toLowerCase(Locale.ROOT),
                        member.id().equals(node.self().id()) ? config.get().version() : 0))
                .toList();
    }

    private List<PoolStatus> pools(CoreView view) {
        Map<String, List<EndpointView>> byPool = explanations.endpointsByPool(view);
        return view.pools().stream()
                .map(pool -> poolStatus(pool, byPool.getOrDefault(pool.pool(), List.of())))
                .toList();
    }

    private static PoolStatus poolStatus(PoolView pool, List<EndpointView> members) {
        int ejected = count(members, "ejected");
        int leaving = count(members, "leaving");
        return new PoolStatus(
                pool.pool(),
                members.size() - ejected - leaving,
                ejected,
                leaving,
                pool.isCovered(),
                pool.boundTokensPerS());
    }

    private static int count(List<EndpointView> endpoints, String state) {
        return (int) endpoints.stream()
                .filter(endpoint -> endpoint.state().equals(state))
                .count();
    }

    private List<String> notices(CoreView view) {
        List<String> notices = new ArrayList<>();
        if (!platformHealth.isReachable()) {
            notices.add("the platform is unreachable; non-repeatable requests are refused");
        }
        for (PoolView pool : view.pools()) {
            if (!pool.isCovered()) {
                notices.add("pool " + pool.pool() + " has uncovered layers: some layers have no live endpoint");
            }
        }
        return notices;
    }

    @Override
    public Uni<Optional<RequestExplanation>> explainRequest(String requestId) {
        return runOnControlThread(() -> {
            Optional<RequestView> view = control.core().request(requestId);
            return view.map(explanations::explainRequest);
        });
    }

    @Override
    public Uni<Optional<CallerExplanation>> explainCaller(String caller) {
        return runOnControlThread(
                () -> Optional.ofNullable(config.get().contracts().get(caller)).map(explanations::explainCaller));
    }

    /** Reads from the platform, which records who made the last change; if that fails, returns the object in effect. */
    @Override
    public Uni<Optional<StoredDocument>> getObject(ObjectKind kind, String name) {
        return runOnControlThread(() -> platform.get(kind.key(name)))
                .flatMap(found -> found)
                .map(found -> found.map(AdminControl::document))
                .onFailure()
                .recoverWithUni(error -> runOnControlThread(
                        () -> node.configuration().object(kind.key(name)).map(AdminControl::document)));
    }

    @Override
    public Uni<List<StoredDocument>> listObjects(ObjectKind kind) {
        return runOnControlThread(() -> node.configuration().objects().stream()
                .filter(object -> object.key().startsWith(kind.key("")))
                .map(AdminControl::document)
                .toList());
    }

    private static StoredDocument document(ConfigurationObject object) {
        return document(object.key(), object.version(), new String(object.value(), StandardCharsets.UTF_8), "");
    }

    private static StoredDocument document(String key, long version, String text, String nonce) {
        Optional<ChangeStamp> change = ChangeStamp.fromNonce(nonce);
        return new StoredDocument(
                key.substring(key.lastIndexOf('/') + 1),
                version,
                text,
                change.map(ChangeStamp::operator).orElse(""),
                change.map(ChangeStamp::atMs).orElse(0L));
    }

    @Override
    public Uni<ChangeResult> putObject(
            ObjectKind kind, String name, String text, long expectedVersion, ChangeStamp change) {
        byte[] value = text.getBytes(StandardCharsets.UTF_8);
        return writeToPlatform(() -> platform.put(kind.key(name), expectedVersion, value, change.toNonce())
                .invoke(result -> applyWrite(kind.key(name), result, value)));
    }

    @Override
    public Uni<ChangeResult> deleteObject(ObjectKind kind, String name, long expectedVersion, ChangeStamp change) {
        return writeToPlatform(() -> platform.delete(kind.key(name), expectedVersion, change.toNonce())
                .invoke(result -> applyWrite(kind.key(name), result, null)));
    }

    private void applyWrite(String key, PutResult result, byte[] value) {
        if (result instanceof PutResult.Written written) {
            configuration.applyWrite(key, written.version(), value);
        }
    }

    private Uni<ChangeResult> writeToPlatform(Supplier<Uni<PutResult>> write) {
        return runOnControlThread(write)
                .flatMap(result -> result)
                .onFailure()
                .transform(error -> new ControlException(
                        HTTP_UNAVAILABLE,
                        "the platform did not confirm the change: " + Failures.describe(error),
                        "read the object before you retry the change; it may have been written"))
                .map(AdminControl::changeResult);
    }

    private static ChangeResult changeResult(PutResult result) {
        if (result instanceof PutResult.Written written) {
            return new ChangeResult.Changed(written.version());
        }
        PutResult.Conflict conflict = (PutResult.Conflict) result;
        return new ChangeResult.Conflict(conflict.current().map(AdminControl::document));
    }

    private static StoredDocument document(StoredObject object) {
        String text = new String(object.value(), StandardCharsets.UTF_8);
        return document(object.key(), object.version(), text, object.nonce());
    }

    @Override
    public Uni<Optional<DrainProgress>> drainVm(String vmId, ChangeStamp change) {
        return runOnControlThread(() -> {
            if (endpoints.vm(vmId) == null) {
                return Optional.empty();
            }
            endpoints.endpointLeaving(vmId);
            int running = control.core().view().endpoints().stream()
                    .filter(endpoint -> endpoint.endpointId().equals(vmId))
                    .mapToInt(EndpointView::running)
                    .sum();
            String text = vmId + " receives no new work; running requests finish";
            long deadlineMs = nowMs() + settings.integer(SettingKey.DRAIN_TIMEOUT_MS);
            return Optional.of(new DrainProgress(vmId, running, deadlineMs, text));
        });
    }

    @Override
    public Multi<DaySummary> daySummaries(LocalDate day) {
        return runOnControlThread(() -> daySummaries.readSummaries(day))
                .onItem()
                .transformToMulti(summaries -> summaries);
    }

    @Override
    public Map<String, String> settingsInEffect() {
        Map<String, String> values = new TreeMap<>();
        for (SettingKey key : SettingKey.values()) {
            values.put(key.path(), settings.text(key));
        }
        return values;
    }

    @Override
    public Map<String, Double> boundTokensPerSByPool() {
        return plane.boundTokensPerSByPool();
    }

    @Override
    public Collection<Contract> contracts() {
        return config.get().contracts().values();
    }

    @Override
    public boolean isHealthy() {
        return true;
    }

    @Override
    public Optional<String> notReadyReason() {
        return notReady.get();
    }

    @Override
    public String metricsText() {
        return metrics.get();
    }

    @Override
    public long nowMs() {
        return System.currentTimeMillis();
    }

    private <T> Uni<T> runOnControlThread(Supplier<T> task) {
        return Uni.createFrom()
                .emitter(emitter -> control.execute(() -> {
                    try {
                        emitter.complete(task.get());
                    } catch (RuntimeException e) {
                        emitter.fail(e);
                    }
                }));
    }
}
