package io.radishwinch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import io.radishwinch.cli.AdminClient.Answer;
import io.radishwinch.cli.Documents.Document;
import io.radishwinch.config.contract.ObjectKind;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Commands on contracts, models and services. */
final class ObjectCommands {
    private ObjectCommands() {}

    /** Returns the commands of a kind by name. */
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
        return "/" + kind.plural() + "/" + AdminClient.segment(name);
    }

    /** Object in effect; version 0 if there is none. */
    private record InEffect(long version, String text, String changedBy, long changedAtMs) {
        static InEffect read(Session session, ObjectKind kind, String name) {
            Answer answer = session.client().get(path(kind, name));
            if (answer.status() == 404) {
                return new InEffect(0, "", "", 0);
            }
            JsonNode body = answer.orFail();
            return new InEffect(
                    body.path("version").asLong(),
                    body.path("text").asText(),
                    body.path("changedBy").asText(),
                    body.path("changedAtMs").asLong());
        }
    }

    /** Prints warnings or errors that a router found in a document. */
    private static void findings(Session session, String file, JsonNode findings) {
        for (JsonNode finding : findings) {
            String hint = finding.path("hint").asText();
            session.note(file + ": " + finding.path("path").asText("$") + ": "
                    + finding.path("message").asText() + (hint.isEmpty() ? "" : " (" + hint + ")"));
        }
    }

    /** Lets a router check documents against the fleet; nothing is changed. */
    private static void checkAtRouter(Session session, ObjectKind kind, List<Document> documents, boolean allowFloors) {
        int refused = 0;
        for (Document document : documents) {
            String query = allowFloors ? "?allowFloors=true" : "";
            Answer answer = session.client()
                    .call(HttpMethod.POST, path(kind, document.name()) + "/check" + query, -1, document.text());
            if (answer.status() == 422) {
                JsonNode error = answer.body().path("error");
                findings(session, document.file(), error.path("errors"));
                if (error.path("errors").isEmpty()) {
                    session.note(document.file() + ": " + error.path("message").asText());
                }
                refused++;
            } else {
                findings(session, document.file(), answer.orFail().path("warnings"));
            }
        }
        if (refused > 0) {
            throw new CliException(
                    ExitCode.INVALID,
                    refused + " of " + documents.size() + " documents were refused by the router",
                    "correct the faults above; nothing was changed");
        }
    }

    @Parameters(commandDescription = "Check files or directories; at a router too if one is given")
    private static final class Validate extends Command {
        private final ObjectKind kind;

        @Parameter(description = "FILE...", required = true)
        private List<String> paths = new ArrayList<>();

        Validate(ObjectKind kind) {
            this.kind = kind;
        }

        @Override
        ExitCode run(Session session) {
            List<Document> documents = Documents.read(session, kind, paths);
            boolean atRouter = !session.settings().routers().isEmpty();
            if (atRouter) {
                checkAtRouter(session, kind, documents, false);
            }
            documents.forEach(
                    document -> session.line("%s: %s %s is valid", document.file(), kind.singular(), document.name()));
            session.json(Map.of("valid", documents.stream().map(Document::name).toList(), "checkedAtRouter", atRouter));
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
            List<Document> documents = Documents.read(session, kind, paths);
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
                    session.line("%s: %s", progress, result);
                    results.add(Map.of("name", document.name(), "result", result));
                } catch (CliException e) {
                    if (e.exitCode() != ExitCode.CONFLICT) {
                        throw e;
                    }
                    worst = ExitCode.CONFLICT;
                    session.note(progress + ": conflict: " + e.getMessage() + " (" + e.hint() + ")");
                    results.add(Map.of("name", document.name(), "result", "conflict", "message", e.getMessage()));
                }
            }
            session.json(Map.of("kind", kind.singular(), "objects", results));
            return worst;
        }

        private String apply(Session session, Document document) {
            InEffect before = InEffect.read(session, kind, document.name());
            if (expectVersion < 0 && before.version() > 0 && before.text().equals(document.text())) {
                return "unchanged, version " + before.version();
            }
            long expected = expectVersion >= 0 ? expectVersion : before.version();
            String query = allowFloors ? "?allowFloors=true" : "";
            Answer answer = session.client()
                    .call(HttpMethod.PUT, path(kind, document.name()) + query, expected, document.text());
            if (answer.status() == 409 && expectVersion < 0) {
                // The answer of an earlier router may have been lost after the write took effect.
                InEffect after = InEffect.read(session, kind, document.name());
                if (after.text().equals(document.text())) {
                    return "in effect, version " + after.version();
                }
            }
            long version = answer.orFail().path("version").asLong();
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
            for (Document document : Documents.read(session, kind, paths)) {
                InEffect before = InEffect.read(session, kind, document.name());
                boolean same = before.version() > 0 && before.text().equals(document.text());
                String state = before.version() == 0 ? "new" : same ? "unchanged" : "different";
                session.line("%s %s: %s%s", kind.singular(), document.name(), state, describe(before));
                List<String> lines = same ? List.of() : LineDiff.of(before.text(), document.text());
                lines.forEach(line -> session.line("%s", line));
                results.add(
                        Map.of("name", document.name(), "state", state, "version", before.version(), "lines", lines));
            }
            session.json(Map.of("kind", kind.singular(), "objects", results));
            return ExitCode.OK;
        }
    }

    private static String describe(InEffect object) {
        if (object.version() == 0) {
            return "";
        }
        String by = object.changedBy().isEmpty() ? "" : " by " + object.changedBy();
        String at = object.changedAtMs() == 0 ? "" : " at " + Session.time(object.changedAtMs());
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
            JsonNode body = session.client().get(path(kind, name)).orFail();
            if (session.isJson()) {
                session.json(body);
                return ExitCode.OK;
            }
            InEffect object = new InEffect(
                    body.path("version").asLong(),
                    "",
                    body.path("changedBy").asText(),
                    body.path("changedAtMs").asLong());
            session.note(kind.singular() + " " + name + describe(object));
            String text = Session.printable(body.path("text").asText());
            session.raw(text.endsWith("\n") ? text : text + "\n");
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
            JsonNode body = session.client().get("/" + kind.plural()).orFail();
            session.line("%-32s %10s  %-20s %s", "name", "version", "changed", "by");
            for (JsonNode object : body.path("objects")) {
                session.line(
                        "%-32s %10d  %-20s %s",
                        object.path("name").asText(),
                        object.path("version").asLong(),
                        Session.time(object.path("changedAtMs").asLong()),
                        object.path("changedBy").asText());
            }
            session.json(body);
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
                            .orFail()
                            .path("version")
                            .asLong();
            JsonNode body = session.client()
                    .call(HttpMethod.DELETE, path(kind, name), version, "")
                    .orFail();
            session.line(
                    "%s %s: deleted, version %d",
                    kind.singular(), name, body.path("version").asLong());
            session.json(body);
            return ExitCode.OK;
        }
    }
}
