package io.radishwinch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.http.HttpMethod;
import java.util.Locale;

/** Commands that show the state of the fleet or drain VMs. */
final class FleetCommands {
    private FleetCommands() {}

    @Parameters(commandDescription = "Show the state of a router and of the fleet as it sees it")
    static final class Status extends Command {
        @Override
        ExitCode run(Session session) {
            JsonNode body = session.client().get("/status").bodyOrThrow();
            session.printJson(body);
            body.path("notices").forEach(notice -> session.printLine("! %s", notice.asText()));
            session.printLine(
                    "router %s in %s, release %s, started %s%s",
                    body.path("routerId").asText(),
                    body.path("dataCentre").asText(),
                    body.path("release").asText(),
                    Session.formatTime(body.path("startedAtMs").asLong()),
                    body.path("draining").asBoolean() ? ", draining" : "");
            session.printLine(
                    "configuration version %d", body.path("configVersion").asLong());
            session.printLine(
                    "object API %s, last reached %s",
                    body.path("platformReachable").asBoolean() ? "reachable" : "NOT reachable",
                    Session.formatTime(body.path("platformLastReachedAtMs").asLong()));
            session.printLine("%n%-24s %-12s %-10s %s", "router", "data centre", "state", "configuration");
            for (JsonNode router : body.path("routers")) {
                session.printLine(
                        "%-24s %-12s %-10s %d",
                        router.path("routerId").asText(),
                        router.path("dataCentre").asText(),
                        router.path("state").asText(),
                        router.path("configVersion").asLong());
            }
            session.printLine("%n%-24s %5s %8s %8s %-8s %s", "pool", "live", "ejected", "leaving", "covered", "bound");
            for (JsonNode pool : body.path("pools")) {
                session.printLine(
                        "%-24s %5d %8d %8d %-8s %,.0f tokens/s",
                        pool.path("pool").asText(),
                        pool.path("live").asInt(),
                        pool.path("ejected").asInt(),
                        pool.path("leaving").asInt(),
                        pool.path("covered").asBoolean() ? "yes" : "NO",
                        pool.path("boundTokensPerS").asDouble());
            }
            session.printLine("%n%-24s %8s %8s", "rank", "queued", "running");
            for (JsonNode rank : body.path("ranks")) {
                session.printLine(
                        "%-24s %8d %8d",
                        rank.path("rank").asText(),
                        rank.path("queued").asInt(),
                        rank.path("running").asInt());
            }
            return ExitCode.OK;
        }
    }

    @Parameters(commandDescription = "Explain what happened to a request, by the X-Request-Id of its response")
    static final class ExplainRequest extends Command {
        @Parameter(description = "ID", required = true)
        private String id;

        @Override
        ExitCode run(Session session) {
            AdminClient.AdminResponse response =
                    session.client().getFromAny("/requests/" + AdminClient.encodeSegment(id));
            if (response.status() == 404) {
                int routerCount = session.client().routerCount();
                throw new CliException(
                        ExitCode.FAILED,
                        "request " + id + " is not recorded by the "
                                + (routerCount == 1 ? "router queried" : routerCount + " routers queried"),
                        "use --router to name the router that accepted it; each keeps only its latest requests");
            }
            JsonNode body = response.bodyOrThrow();
            session.printJson(body);
            session.printLine(
                    "request %s of %s, %s, %s: %s%s",
                    body.path("requestId").asText(),
                    body.path("caller").asText(),
                    body.path("rank").asText(),
                    body.path("pool").asText(),
                    body.path("state").asText(),
                    outcome(body));
            session.printLine("%s", body.path("summary").asText());
            if (!body.path("advice").asText().isEmpty()) {
                session.printLine("%s", body.path("advice").asText());
            }
            session.printLine("");
            for (JsonNode step : body.path("steps")) {
                session.printLine(
                        "%-24s  %s",
                        Session.formatTime(step.path("atMs").asLong()),
                        step.path("text").asText());
            }
            return ExitCode.OK;
        }

        private static String outcome(JsonNode body) {
            String verdict = body.path("verdict").asText();
            String reason = body.path("reason").asText();
            return (verdict.isEmpty() ? "" : ", " + verdict) + (reason.isEmpty() ? "" : " (" + reason + ")");
        }
    }

    @Parameters(commandDescription = "Explain how a caller is being served")
    static final class ExplainCaller extends Command {
        @Parameter(description = "NAME", required = true)
        private String name;

        @Override
        ExitCode run(Session session) {
            JsonNode body = session.client()
                    .get("/callers/" + AdminClient.encodeSegment(name))
                    .bodyOrThrow();
            session.printJson(body);
            session.printLine("%s", body.path("summary").asText());
            session.printLine(
                    "contract version %d", body.path("contractVersion").asLong());
            session.printLine("%n%-30s %12s %14s %12s", "limit", "contract", "share here", "used here");
            for (JsonNode limit : body.path("limits")) {
                session.printLine(
                        "%-30s %12s %14s %12s",
                        limit.path("limit").asText(),
                        formatLimit(limit.path("contract").asDouble()),
                        formatLimit(limit.path("share").asDouble()),
                        formatLimit(limit.path("used").asDouble()));
            }
            session.printLine("%n%-16s %10s %10s %8s %8s", "rank today", "offered", "in time", "queued", "running");
            for (JsonNode rank : body.path("ranks")) {
                session.printLine(
                        "%-16s %10d %10d %8d %8d",
                        rank.path("rank").asText(),
                        rank.path("offered").asLong(),
                        rank.path("withinDeadline").asLong(),
                        rank.path("queued").asInt(),
                        rank.path("running").asInt());
            }
            body.path("refusedByReason")
                    .properties()
                    .forEach(entry -> session.printLine(
                            "refused today: %d %s", entry.getValue().asLong(), entry.getKey()));
            return ExitCode.OK;
        }

        /** Formats a limit; contracts without a limit have very large values. */
        private static String formatLimit(double value) {
            return value >= 1e9 ? "no limit" : String.format(Locale.ROOT, "%,.1f", value);
        }
    }

    @Parameters(commandDescription = "Drain a VM; its running requests finish")
    static final class Drain extends Command {
        @Parameter(description = "VM", required = true)
        private String id;

        @Override
        ExitCode run(Session session) {
            JsonNode body = session.client()
                    .call(HttpMethod.POST, "/vms/" + AdminClient.encodeSegment(id) + "/drain", -1, "")
                    .bodyOrThrow();
            session.printJson(body);
            session.printLine(
                    "VM %s: %s, at the latest by %s",
                    body.path("vmId").asText(),
                    body.path("text").asText(),
                    Session.formatTime(body.path("deadlineMs").asLong()));
            return ExitCode.OK;
        }
    }
}
