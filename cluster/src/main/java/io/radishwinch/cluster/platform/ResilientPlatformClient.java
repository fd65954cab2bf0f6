package io.radishwinch.cluster.platform;

import io.radishwinch.cluster.platform.PlatformException.Kind;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Platform client that keeps the call budget, limits the duration of calls, retries failed ones and resolves lost
 * responses.
 *
 * <p>A write whose response was lost is resolved by reading the object and comparing its nonce. If the object has
 * neither the written nor the previous version, the call fails with {@link Kind#EFFECT_UNKNOWN}. A call during which
 * the store was restored from an older copy is not repeated, because what it rests on may be gone. Not thread-safe.
 */
public final class ResilientPlatformClient implements PlatformClient {
    private static final int MAX_ATTEMPTS = 4;
    private static final long INITIAL_BACKOFF_MS = 20;
    /** A slower platform is treated as unavailable, because requests wait for the responses. */
    private static final long CALL_TIMEOUT_MS = 1_000;

    private static final long MAX_BUDGET_WAIT_MS = 2_000;
    private static final long MAX_BACKGROUND_WAIT_MS = 60_000;

    /** Key of the object that probes read; it need not exist. */
    private static final String PROBE_KEY = "probe/availability";

    private final PlatformClient platform;
    private final CallBudget budget;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final PlatformListener listener;
    private final CircuitBreaker circuit;
    private final CallPriority priority;

    /** Creates a client whose calls have {@link CallPriority#NORMAL}. */
    public ResilientPlatformClient(
            PlatformClient platform,
            CallBudget budget,
            Scheduler scheduler,
            RandomGenerator random,
            PlatformListener listener) {
        this(platform, budget, scheduler, random, listener, CircuitBreaker.MAX_PROBE_INTERVAL_MS);
    }

    /**
     * Creates a client whose calls have {@link CallPriority#NORMAL}.
     *
     * @param maxProbeIntervalMs maximum interval between two probes of an unavailable platform, in ms
     */
    public ResilientPlatformClient(
            PlatformClient platform,
            CallBudget budget,
            Scheduler scheduler,
            RandomGenerator random,
            PlatformListener listener,
            long maxProbeIntervalMs) {
        this.platform = platform;
        this.budget = budget;
        this.scheduler = scheduler;
        this.random = random;
        this.listener = listener;
        this.priority = CallPriority.NORMAL;
        this.circuit = new CircuitBreaker(
                scheduler,
                random,
                listener,
                () -> callWithTimeout(false, () -> platform.get(PROBE_KEY)),
                maxProbeIntervalMs);
    }

    private ResilientPlatformClient(ResilientPlatformClient shared, CallPriority priority) {
        this.platform = shared.platform;
        this.budget = shared.budget;
        this.scheduler = shared.scheduler;
        this.random = shared.random;
        this.listener = shared.listener;
        this.circuit = shared.circuit;
        this.priority = priority;
    }

    /** Returns a client with another priority that shares the budget and the circuit breaker of this one. */
    public ResilientPlatformClient withPriority(CallPriority newPriority) {
        return new ResilientPlatformClient(this, newPriority);
    }

    /** Returns whether calls are made, which is false while the platform does not respond. */
    public boolean isAvailable() {
        return !circuit.isOpen();
    }

    @Override
    public Uni<Optional<StoredObject>> get(String key) {
        return read(() -> platform.get(key), 1);
    }

    @Override
    public Uni<Page> list(String prefix, String afterKey, int limit) {
        return read(() -> platform.list(prefix, afterKey, limit), 1);
    }

    @Override
    public Uni<List<Vm>> vms() {
        return read(platform::vms, 1);
    }

    /**
     * Neither repeats a ping nor counts it against the call budget, because its failure is what the caller asks for.
     */
    @Override
    public Uni<Void> ping(long timeoutMs) {
        return platform.ping(timeoutMs);
    }

    @Override
    public Uni<PutResult> put(String key, long expectedVersion, byte[] value, String nonce) {
        if (value.length > MAX_VALUE_BYTES) {
            return failure(Kind.NO_EFFECT, "value of " + key + " has " + value.length + " bytes, the limit is 1000000");
        }
        return put(key, expectedVersion, value, nonce, 1, false);
    }

    @Override
    public Uni<PutResult> delete(String key, long expectedVersion, String nonce) {
        return delete(key, expectedVersion, nonce, 1, false);
    }

    @Override
    public Multi<Change> watch(String prefix, long fromVersion) {
        return Multi.createFrom().deferred(() -> {
            AtomicBoolean ended = new AtomicBoolean();
            Runnable end = () -> {
                if (ended.compareAndSet(false, true)) {
                    budget.onWatchEnded();
                }
            };
            return call(false, () -> Uni.createFrom().item(true)).onItem().transformToMulti(allowed -> {
                budget.onWatchStarted();
                return platform.watch(prefix, fromVersion).onTermination().invoke(end);
            });
        });
    }

    private <T> Uni<T> read(Supplier<Uni<T>> operation, int attempt) {
        return call(false, operation)
                .onFailure()
                .recoverWithUni(failure -> canRetry(failure, attempt)
                        ? afterBackoff(attempt).onItem().transformToUni(waited -> read(operation, attempt + 1))
                        : Uni.createFrom().failure(failure));
    }

    /**
     * Attempts a put.
     *
     * @param inDoubt whether an earlier attempt may have taken effect
     */
    private Uni<PutResult> put(
            String key, long expectedVersion, byte[] value, String nonce, int attempt, boolean inDoubt) {
        return call(true, () -> platform.put(key, expectedVersion, value, nonce))
                .onItem()
                .transformToUni(result -> inDoubt ? resolveConflict(key, nonce, result) : item(result))
                .onFailure()
                .recoverWithUni(failure -> {
                    boolean isInDoubt = inDoubt || kindOf(failure) == Kind.EFFECT_UNKNOWN;
                    if (!canRetry(failure, attempt)) {
                        return Uni.createFrom().failure(isInDoubt ? effectUnknown(key, failure) : failure);
                    }
                    Uni<Boolean> backoff = afterBackoff(attempt);
                    if (!isInDoubt) {
                        return backoff.onItem()
                                .transformToUni(waited -> put(key, expectedVersion, value, nonce, attempt + 1, false));
                    }
                    return backoff.onItem()
                            .transformToUni(waited -> resolvePut(key, expectedVersion, value, nonce, attempt));
                });
    }

    private Uni<PutResult> resolvePut(String key, long expectedVersion, byte[] value, String nonce, int attempt) {
        return read(() -> platform.get(key), 1)
                .onFailure()
                .recoverWithUni(failure -> Uni.createFrom().failure(effectUnknown(key, failure)))
                .onItem()
                .transformToUni(found -> {
                    if (found.isPresent() && found.get().nonce().equals(nonce)) {
                        listener.onLostResponseResolved();
                        return item(new PutResult.Written(found.get().version()));
                    }
                    // The read may be stale, so only the store can decide: the same conditional put is sent again.
                    return put(key, expectedVersion, value, nonce, attempt + 1, true);
                });
    }

    /**
     * Resolves a put after a lost response. A conflict with the nonce of this write is a success; any other leaves the
     * effect unknown.
     */
    private Uni<PutResult> resolveConflict(String key, String nonce, PutResult result) {
        if (result instanceof PutResult.Conflict conflict) {
            boolean isThisWrite = conflict.current()
                    .filter(current -> current.nonce().equals(nonce))
                    .isPresent();
            if (!isThisWrite) {
                return Uni.createFrom().failure(effectUnknown(key, null));
            }
            listener.onLostResponseResolved();
            return item(new PutResult.Written(conflict.current().get().version()));
        }
        listener.onLostResponseResolved();
        return item(result);
    }

    private Uni<PutResult> delete(String key, long expectedVersion, String nonce, int attempt, boolean inDoubt) {
        return call(true, () -> platform.delete(key, expectedVersion, nonce))
                .onItem()
                .transformToUni(result -> inDoubt && isAbsent(result) ? resolveDelete(key) : item(result))
                .onFailure()
                .recoverWithUni(failure -> {
                    boolean isInDoubt = inDoubt || kindOf(failure) == Kind.EFFECT_UNKNOWN;
                    if (!canRetry(failure, attempt)) {
                        return Uni.createFrom().failure(isInDoubt ? effectUnknown(key, failure) : failure);
                    }
                    return afterBackoff(attempt)
                            .onItem()
                            .transformToUni(waited -> delete(key, expectedVersion, nonce, attempt + 1, isInDoubt));
                });
    }

    private static boolean isAbsent(PutResult result) {
        return result instanceof PutResult.Conflict conflict
                && conflict.current().isEmpty();
    }

    /**
     * Resolves a deletion whose object is absent. A store version at which it was absent replaces that of the deletion.
     */
    private Uni<PutResult> resolveDelete(String key) {
        listener.onLostResponseResolved();
        return read(() -> platform.list(key, "", 1), 1).map(page -> new PutResult.Written(page.storeVersion()));
    }

    private <T> Uni<T> call(boolean isWrite, Supplier<Uni<T>> operation) {
        return Uni.createFrom().emitter((UniEmitter<? super T> emitter) -> {
            if (circuit.isOpen()) {
                emitter.fail(new PlatformException(
                        Kind.NO_EFFECT, "platform is unavailable, circuit breaker is open", null));
                return;
            }
            long maxWaitMs = priority == CallPriority.BACKGROUND ? MAX_BACKGROUND_WAIT_MS : MAX_BUDGET_WAIT_MS;
            budget.runWhenAllowed(
                    isWrite,
                    priority,
                    maxWaitMs,
                    () -> {
                        listener.onCall(isWrite);
                        callWithTimeout(isWrite, operation)
                                .subscribe()
                                .with(
                                        item -> {
                                            circuit.onSuccess();
                                            emitter.complete(item);
                                        },
                                        failure -> {
                                            listener.onFailure(kindOf(failure));
                                            circuit.onFailure();
                                            emitter.fail(failure);
                                        });
                    },
                    () -> {
                        listener.onBudgetExceeded(isWrite);
                        emitter.fail(
                                new PlatformException(Kind.NO_EFFECT, "call budget of the router is exceeded", null));
                    });
        });
    }

    /** Makes a call that fails after {@link #CALL_TIMEOUT_MS}. The effect of a write is then unknown. */
    private <T> Uni<T> callWithTimeout(boolean isWrite, Supplier<Uni<T>> operation) {
        return Uni.createFrom().emitter((UniEmitter<? super T> emitter) -> {
            Scheduler.Timer timer = scheduler.schedule(
                    CALL_TIMEOUT_MS,
                    () -> emitter.fail(new PlatformException(
                            isWrite ? Kind.EFFECT_UNKNOWN : Kind.NO_EFFECT,
                            "no response of the platform within " + CALL_TIMEOUT_MS + " ms",
                            null)));
            operation
                    .get()
                    .subscribe()
                    .with(
                            item -> {
                                timer.cancel();
                                emitter.complete(item);
                            },
                            failure -> {
                                timer.cancel();
                                emitter.fail(failure);
                            });
        });
    }

    private boolean canRetry(Throwable failure, int attempt) {
        boolean isRetryable = failure instanceof PlatformException exception
                && exception.kind() != Kind.HISTORY_EXPIRED
                && exception.kind() != Kind.STORE_RESTORED;
        if (!isRetryable || attempt >= MAX_ATTEMPTS || circuit.isOpen()) {
            return false;
        }
        listener.onRetry();
        return true;
    }

    /** Waits for a backoff with full jitter: the delay is uniform up to a bound that doubles with each attempt. */
    private Uni<Boolean> afterBackoff(int attempt) {
        long boundMs = INITIAL_BACKOFF_MS << attempt;
        return Uni.createFrom()
                .emitter(emitter -> scheduler.schedule(random.nextLong(boundMs) + 1, () -> emitter.complete(true)));
    }

    private static Kind kindOf(Throwable failure) {
        return failure instanceof PlatformException exception ? exception.kind() : Kind.EFFECT_UNKNOWN;
    }

    private static PlatformException effectUnknown(String key, Throwable cause) {
        return new PlatformException(Kind.EFFECT_UNKNOWN, "effect of the write of " + key + " is unknown", cause);
    }

    private static Uni<PutResult> item(PutResult result) {
        return Uni.createFrom().item(result);
    }

    private static <T> Uni<T> failure(Kind kind, String message) {
        return Uni.createFrom().failure(new PlatformException(kind, message, null));
    }
}
