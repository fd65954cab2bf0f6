package io.radishwinch.server.admin;

import io.radishwinch.config.ConfigError;
import io.radishwinch.config.contract.ConfigObjectReader;
import io.radishwinch.config.contract.ObjectKind;
import io.radishwinch.config.settings.Operator.Role;
import io.radishwinch.core.model.Contract;
import io.radishwinch.server.admin.RouterControl.ChangeResult;
import io.radishwinch.server.admin.RouterControl.StoredDocument;
import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

/** Routes for listing, reading, checking and changing contracts, models and services. */
final class ObjectRoutes {
    private final AdminApi api;
    private final RouterControl control;

    ObjectRoutes(AdminApi api, RouterControl control) {
        this.api = api;
        this.control = control;
    }

    void addTo(Router router) {
        for (ObjectKind kind : ObjectKind.values()) {
            String path = AdminApi.BASE_PATH + "/" + kind.plural();
            router.get(path).handler(ctx -> api.respond(ctx, list(kind, ctx)));
            router.get(path + "/:name").handler(ctx -> api.respond(ctx, get(kind, ctx)));
            router.post(path + "/:name/check").handler(ctx -> api.respond(ctx, check(kind, ctx)));
            router.put(path + "/:name")
                    .handler(api.requireRole(Role.OPERATOR))
                    .handler(ctx -> api.respond(ctx, put(kind, ctx)));
            router.delete(path + "/:name")
                    .handler(api.requireRole(Role.ADMIN))
                    .handler(ctx -> api.respond(ctx, delete(kind, ctx)));
        }
    }

    private Uni<Object> list(ObjectKind kind, RoutingContext ctx) {
        boolean includesText = "true".equals(ctx.request().getParam("text"));
        return control.listObjects(kind)
                .map(documents -> Map.of(
                        "kind",
                        kind.singular(),
                        "objects",
                        documents.stream()
                                .map(document -> includesText ? withText(document) : describe(document))
                                .toList()));
    }

    private Uni<Object> get(ObjectKind kind, RoutingContext ctx) {
        String name = ctx.pathParam("name");
        return control.getObject(kind, name).map(found -> found.map(ObjectRoutes::withText)
                .map(Object.class::cast)
                .orElseThrow(() -> new AdminApi.RejectedException(notFound(kind, name))));
    }

    private Uni<Object> check(ObjectKind kind, RoutingContext ctx) {
        return deferred(
                () -> validate(kind, ctx).map(findings -> Map.of("name", ctx.pathParam("name"), "warnings", findings)));
    }

    private Uni<Object> put(ObjectKind kind, RoutingContext ctx) {
        return deferred(() -> {
            String name = ctx.pathParam("name");
            long expectedVersion = expectedVersion(ctx);
            return validate(kind, ctx)
                    .flatMap(findings -> control.putObject(kind, name, body(ctx), expectedVersion, api.changeStamp(ctx))
                            .map(result -> toResponse(kind, name, expectedVersion, result, findings)));
        });
    }

    private Uni<Object> delete(ObjectKind kind, RoutingContext ctx) {
        return deferred(() -> {
            String name = ctx.pathParam("name");
            long expectedVersion = expectedVersion(ctx);
            return control.getObject(kind, name).flatMap(found -> {
                if (found.isEmpty()) {
                    throw new AdminApi.RejectedException(notFound(kind, name));
                }
                return control.deleteObject(kind, name, expectedVersion, api.changeStamp(ctx))
                        .map(result -> toResponse(kind, name, expectedVersion, result, List.of()));
            });
        });
    }

    private static Object toResponse(
            ObjectKind kind, String name, long expectedVersion, ChangeResult result, List<Finding> findings) {
        if (result instanceof ChangeResult.Changed changed) {
            return Map.of("name", name, "version", changed.version(), "warnings", findings);
        }
        Optional<StoredDocument> winner = ((ChangeResult.Conflict) result).winner();
        String label = kind.singular() + " " + name;
        if (winner.isEmpty()) {
            throw new AdminApi.RejectedException(AdminError.of(
                    409,
                    "conflict",
                    label + " no longer exists; you expected version " + expectedVersion,
                    "apply it again to create the object"));
        }
        StoredDocument document = winner.get();
        String by = document.changedBy().isEmpty() ? "an unknown writer" : document.changedBy();
        String at = document.changedAtMs() == 0 ? "" : " at " + Instant.ofEpochMilli(document.changedAtMs());
        String seen =
                expectedVersion == 0 ? "you expected that it does not exist" : "you saw version " + expectedVersion;
        throw new AdminApi.RejectedException(AdminError.of(
                        409,
                        "conflict",
                        label + " was changed to version " + document.version() + " by " + by + at + "; " + seen,
                        "compare with 'radishwinch " + kind.singular() + " diff', then apply again")
                .withDetail("winner", describe(document)));
    }

    /** Validates the body. Returns warnings, or throws {@link AdminApi.RejectedException} for errors. */
    private Uni<List<Finding>> validate(ObjectKind kind, RoutingContext ctx) {
        String name = ctx.pathParam("name");
        String text = body(ctx);
        Either<List<ConfigError>, String> parsed = ConfigObjectReader.check(kind, name, text);
        if (parsed.isLeft()) {
            throw new AdminApi.RejectedException(
                    AdminError.of(422, "invalid", "the " + kind.singular() + " is invalid", "correct the listed fields")
                            .withDetail("errors", parsed.getLeft()));
        }
        if (!parsed.get().equals(name)) {
            throw new AdminApi.RejectedException(AdminError.of(
                    422,
                    "invalid",
                    "the path names " + name + " but the document names " + parsed.get(),
                    "a name cannot be changed; create the new object and delete the old one"));
        }
        if (kind != ObjectKind.CONTRACT) {
            return Uni.createFrom().item(List.of());
        }
        Contract contract = ConfigObjectReader.readContract(name, text).get();
        List<Finding> floors = FloorCheck.check(contract, control.contracts(), control.boundTokensPerSByPool());
        boolean allowFloors = "true".equals(ctx.request().getParam("allowFloors"));
        if (!allowFloors && floors.stream().anyMatch(Finding::error)) {
            throw new AdminApi.RejectedException(AdminError.of(
                            422,
                            "floors",
                            "the contract promises more than the fleet can deliver",
                            "see the listed fields")
                    .withDetail("errors", floors));
        }
        return Uni.combine()
                .all()
                .unis(control.listObjects(ObjectKind.MODEL), control.listObjects(ObjectKind.SERVICE))
                .with((models, services) -> {
                    List<Finding> findings = new ArrayList<>(floors);
                    addUnconfigured(findings, ObjectKind.MODEL, contract.models(), models);
                    addUnconfigured(findings, ObjectKind.SERVICE, contract.services(), services);
                    return findings;
                });
    }

    /** Adds a warning for each model or service that the contract allows but that is not configured. */
    private static void addUnconfigured(
            List<Finding> findings, ObjectKind kind, Set<String> names, List<StoredDocument> configured) {
        Set<String> unknown = new TreeSet<>(names);
        configured.forEach(document -> unknown.remove(document.name()));
        for (String name : unknown) {
            findings.add(new Finding(
                    "$." + kind.plural(),
                    "the " + kind.singular() + " " + name + " is not configured",
                    "correct the name or apply the " + kind.singular(),
                    false));
        }
    }

    private static long expectedVersion(RoutingContext ctx) {
        String header = ctx.request().getHeader("If-Match");
        if (header == null) {
            throw new AdminApi.RejectedException(AdminError.of(
                    428,
                    "version-required",
                    "the header If-Match is missing",
                    "send the version that you read, or 0 to create the object"));
        }
        try {
            long version = Long.parseLong(header.replace("\"", "").strip());
            if (version >= 0) {
                return version;
            }
        } catch (NumberFormatException e) {
            // Handled like a negative version below.
        }
        throw new AdminApi.RejectedException(AdminError.of(
                400, "malformed", "If-Match is not a valid version: " + header, "send a non-negative integer"));
    }

    private static String body(RoutingContext ctx) {
        String text = ctx.body().asString();
        return text == null ? "" : text;
    }

    private static AdminError notFound(ObjectKind kind, String name) {
        return AdminError.notFound(
                "there is no " + kind.singular() + " " + name,
                "see the names with 'radishwinch " + kind.singular() + " list'");
    }

    private static Map<String, Object> describe(StoredDocument document) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("name", document.name());
        body.put("version", document.version());
        body.put("changedBy", document.changedBy());
        body.put("changedAtMs", document.changedAtMs());
        return body;
    }

    private static Map<String, Object> withText(StoredDocument document) {
        Map<String, Object> body = describe(document);
        body.put("text", document.text());
        return body;
    }

    private static Uni<Object> deferred(Supplier<Uni<? extends Object>> supplier) {
        return Uni.createFrom().deferred(supplier);
    }
}
