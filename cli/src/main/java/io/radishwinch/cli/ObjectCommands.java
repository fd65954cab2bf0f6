package io.radishwinch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import io.radishwinch.cli.AdminClient.AdminResponse;
import io.radishwinch.cli.DocumentReader.Document;
import io.radishwinch.config.contract.ObjectKind;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Commands that manage contracts, models and services. */
final class ObjectCommands {
    private ObjectCommands() {}

    /** Returns the commands for one kind of object, by command name. */
    static Map<String, Command> of(ObjectKind kind) {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("validate", new Validate(kind));
        commands.put("apply", new Apply(kind));
        commands.put("diff", new Diff(kind));
        commands.put("get", new Get(kind));
        commands.put("list", new ListAll(kind));
        commands.put("delete", new Delete(kind));
        return commands;
    }

    private static String path(ObjectKind kind, String name) {
        return "/" + kind.plural() + "/" + AdminClient.encodeSegment(name);
    }

    /** Object in effect at the routers; version 0 if it does not exist. */
    private record CurrentObject(long version, String text, String changedBy, long changedAtMs) {
        static CurrentObject read(Session session, ObjectKind kind, String name) {
            AdminResponse response = session.client().get(path(kind, name));
            if (response.status() == 404) {
                return new CurrentObject(0, "", "", 0);
            }
            JsonNode body = response.bodyOrThrow();
            return new CurrentObject(
                    body.path("version").asLong(),
                    body.path("text").asText(),
                    body.path("changedBy").asText(),
                    body.path("changedAtMs").asLong());
        }
    }

    /** Prints the warnings or errors that a router reported for a document. */
    private static void printFindings(Session session, String file, JsonNode findings) {
        for (JsonNode finding : findings) {
            String hint = finding.path("hint").asText();
            session.printNote(file + ": " + finding.path("path").asText("$") + ": "
                    + finding.path("message").asText() + (hint.isEmpty() ? "" : " (" + hint + ")"));
        }
    }

    /** Checks documents against the fleet at a router; changes nothing. */
    private static void checkAtRouter(Session session, ObjectKind kind, List<Document> documents, boolean allowFloors) {
        int rejected = 0;
        for (Document document : documents) {
            String query = allowFloors ? "?allowFloors=true" : "";
            AdminResponse response = session.client()
                    .call(HttpMethod.POST, path(kind, document.name()) + "/check" + query, -1, document.text());
            if (response.status() == 422) {
                JsonNode error = response.body().path("error");
                printFindings(session, document.file(), error.path("errors"));
                if (error.path("errors").isEmpty()) {
                    session.printNote(
                            document.file() + ": " + error.path("message").asText());
                }
                rejected++;
            } else {
                printFindings(session, document.file(), response.bodyOrThrow().path("warnings"));
            }
        }
        if (rejected > 0) {
            throw new CliException(
                    ExitCode.INVALID,
                    rejected + " of " + documents.size() + " documents were rejected by the router",
                    "fix the errors above; nothing was changed");
        }
    }

    @Parameters(commandDescription = "Check files or directories, also at a router if one is given")
    private static final class Validate extends Command {
        private final ObjectKind kind;

        @Parameter(description = "FILE...", required = true)
        private List<String> paths = new ArrayList<>();

        Validate(ObjectKind kind) {
            this.kind = kind;
        }

        @Override
        ExitCode run(Session session) {
            List<Document> documents = DocumentReader.read(session, kind, paths);
            boolean isCheckedAtRouter = !session.settings().routers().isEmpty();
            if (isCheckedAtRouter) {
                checkAtRouter(session, kind, documents, false);
            }
            documents.forEach(document ->
                    session.printLine("%s: %s %s is valid", document.file(), kind.singular(), document.name()));
            session.printJson(Map.of(
                    "valid", documents.stream().map(Document::name).toList(), "checkedAtRouter", isCheckedAtRouter));
            return ExitCode.OK;
        }
    }

    @Parameters(commandDescription = "Check all files or directories, then put them into effect")
    private static final class Apply extends Command {
        private final ObjectKind kind;

        @Parameter(description = "FILE...", required = true)
        private List<String> paths = new ArrayList<>();

        @Parameter(
                names = "--expect-version",
                description = "Version that the object must have, 0 if it must not exist; for one document only.")
        private long expectVersion = -1;

        @Parameter(names = "--allow-floors", description = "Accept floors above what the live endpoints deliver.")
        private boolean allowFloors;

        Apply(ObjectKind kind) {
            this.kind = kind;
        }

        @Override
        ExitCode run(Session session) {
            List<Document> documents = DocumentReader.read(session, kind, paths);
            if (expectVersion >= 0 && documents.size() != 1) {
                throw new CliException(ExitCode.USAGE, "--expect-version needs exactly one document", "");
            }
            checkAtRouter(session, kind, documents, allowFloors);
            List<Map<String, Object>> results = new ArrayList<>();
            ExitCode worst = ExitCode.OK;
            int index = 0;
            for (Document document : documents) {
                String progress =
                        "[" + ++index + "/" + documents.size() + "] " + kind.singular() + " " + document.name();
                try {
                    String result = apply(session, document);
                    session.printLine("%s: %s", progress, result);
                    results.add(Map.of("name", document.name(), "result", result));
                } catch (CliException e) {
                    if (e.exitCode() != ExitCode.CONFLICT) {
                        throw e;
                    }
                    worst = ExitCode.CONFLICT;
                    session.printNote(progress + ": conflict: " + e.getMessage() + " (" + e.hint() + ")");
                    results.add(Map.of("name", document.name(), "result", "conflict", "message", e.getMessage()));
                }
            }
            session.printJson(Map.of("kind", kind.singular(), "objects", results));
            return worst;
        }

        private String apply(Session session, Document document) {
            CurrentObject before = CurrentObject.read(session, kind, document.name());
            if (expectVersion < 0 && before.version() > 0 && before.text().equals(document.text())) {
                return "unchanged, version " + before.version();
            }
            long expected = expectVersion >= 0 ? expectVersion : before.version();
            String query = allowFloors ? "?allowFloors=true" : "";
            AdminResponse response = session.client()
                    .call(HttpMethod.PUT, path(kind, document.name()) + query, expected, document.text());
            if (response.status() == 409 && expectVersion < 0) {
                // If the response of an earlier router was lost, its write may have succeeded and caused this conflict.
                CurrentObject after = CurrentObject.read(session, kind, document.name());
                if (after.text().equals(document.text())) {
                    return "in effect, version " + after.version();
                }
            }
            long version = response.bodyOrThrow().path("version").asLong();
            return (expected == 0 ? "created" : "changed") + ", version " + version;
        }
    }

    @Parameters(commandDescription = "Compare files or directories with what is in effect")
    private static final class Diff extends Command {
        private final ObjectKind kind;

        @Parameter(description = "FILE...", required = true)
        private List<String> paths = new ArrayList<>();

        Diff(ObjectKind kind) {
            this.kind = kind;
        }

        @Override
        ExitCode run(Session session) {
            List<Map<String, Object>> results = new ArrayList<>();
            for (Document document : DocumentReader.read(session, kind, paths)) {
                CurrentObject before = CurrentObject.read(session, kind, document.name());
                boolean isUnchanged = before.version() > 0 && before.text().equals(document.text());
                String state = before.version() == 0 ? "new" : isUnchanged ? "unchanged" : "different";
                session.printLine("%s %s: %s%s", kind.singular(), document.name(), state, describe(before));
                List<String> lines = isUnchanged ? List.of() : LineDiff.of(before.text(), document.text());
                lines.forEach(line -> session.printLine("%s", line));
                results.add(
                        Map.of("name", document.name(), "state", state, "version", before.version(), "lines", lines));
            }
            session.printJson(Map.of("kind", kind.singular(), "objects", results));
            return ExitCode.OK;
        }
    }

    private static String describe(CurrentObject object) {
        if (object.version() == 0) {
            return "";
        }
        String by = object.changedBy().isEmpty() ? "" : " by " + object.changedBy();
        String at = object.changedAtMs() == 0 ? "" : " at " + Session.formatTime(object.changedAtMs());
        return ", version " + object.version() + (by + at).replaceFirst("^ ", ", changed ");
    }

    @Parameters(commandDescription = "Print the document in effect")
    private static final class Get extends Command {
        private final ObjectKind kind;

        @Parameter(description = "NAME", required = true)
        private String name;

        Get(ObjectKind kind) {
            this.kind = kind;
        }

        @Override
        ExitCode run(Session session) {
            JsonNode body = session.client().get(path(kind, name)).bodyOrThrow();
            if (session.isJson()) {
                session.printJson(body);
                return ExitCode.OK;
            }
            CurrentObject object = new CurrentObject(
                    body.path("version").asLong(),
                    "",
                    body.path("changedBy").asText(),
                    body.path("changedAtMs").asLong());
            session.printNote(kind.singular() + " " + name + describe(object));
            String text = Session.printable(body.path("text").asText());
            session.printRaw(text.endsWith("\n") ? text : text + "\n");
            return ExitCode.OK;
        }
    }

    @Parameters(commandDescription = "List the names in effect")
    private static final class ListAll extends Command {
        private final ObjectKind kind;

        ListAll(ObjectKind kind) {
            this.kind = kind;
        }

        @Override
        ExitCode run(Session session) {
            JsonNode body = session.client().get("/" + kind.plural()).bodyOrThrow();
            session.printLine("%-32s %10s  %-20s %s", "name", "version", "changed", "by");
            for (JsonNode object : body.path("objects")) {
                session.printLine(
                        "%-32s %10d  %-20s %s",
                        object.path("name").asText(),
                        object.path("version").asLong(),
                        Session.formatTime(object.path("changedAtMs").asLong()),
                        object.path("changedBy").asText());
            }
            session.printJson(body);
            return ExitCode.OK;
        }
    }

    @Parameters(commandDescription = "Delete an object")
    private static final class Delete extends Command {
        private final ObjectKind kind;

        @Parameter(description = "NAME", required = true)
        private String name;

        @Parameter(names = "--expect-version", description = "Version that the object must have.")
        private long expectVersion = -1;

        Delete(ObjectKind kind) {
            this.kind = kind;
        }

        @Override
        ExitCode run(Session session) {
            long version = expectVersion >= 0
                    ? expectVersion
                    : session.client()
                            .get(path(kind, name))
                            .bodyOrThrow()
                            .path("version")
                            .asLong();
            JsonNode body = session.client()
                    .call(HttpMethod.DELETE, path(kind, name), version, "")
                    .bodyOrThrow();
            session.printLine(
                    "%s %s: deleted, version %d",
                    kind.singular(), name, body.path("version").asLong());
            session.printJson(body);
            return ExitCode.OK;
        }
    }
}
