package io.radishwinch.cli;

import io.radishwinch.config.ConfigError;
import io.radishwinch.config.contract.ConfigObjectReader;
import io.radishwinch.config.contract.ObjectKind;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Reads the documents of one kind from files and directories. */
final class DocumentReader {
    private static final int MAX_FILES = 10_000;
    private static final Pattern SCHEMA = Pattern.compile("(?m)^schema:\\s*[\"']?([a-z]+)/");

    private DocumentReader() {}

    /**
     * A document that passed validation without a router.
     *
     * @param file file name as given by the operator
     * @param name name of the object
     * @param text content of the file
     */
    record Document(String file, String name, String text) {}

    /**
     * Reads documents and prints the errors of all of them. Skips documents of other kinds in directories.
     *
     * @return the documents in the order of the paths; files of a directory are sorted by name
     * @throws CliException if a document is invalid or none is found
     */
    static List<Document> read(Session session, ObjectKind kind, List<String> paths) {
        List<Document> documents = new ArrayList<>();
        Map<String, String> fileByName = new HashMap<>();
        int invalid = 0;
        for (String file : files(session, kind, paths)) {
            String text = TextFiles.read(session.environment().resolve(file), file);
            Either<List<ConfigError>, String> name = ConfigObjectReader.check(kind, file, text);
            if (name.isLeft()) {
                session.printErrors(name.getLeft());
                invalid++;
                continue;
            }
            String otherFile = fileByName.putIfAbsent(name.get(), file);
            if (otherFile != null) {
                session.printNote(file + ": defines the same " + kind.singular() + " as " + otherFile);
                invalid++;
            }
            documents.add(new Document(file, name.get(), text));
        }
        if (invalid > 0) {
            throw new CliException(
                    ExitCode.INVALID,
                    invalid + " of " + (documents.size() + invalid) + " documents are invalid",
                    "fix the errors above; nothing was changed");
        }
        if (documents.isEmpty()) {
            throw new CliException(
                    ExitCode.USAGE, "no " + kind.singular() + " document found in " + String.join(", ", paths), "");
        }
        return documents;
    }

    private static List<String> files(Session session, ObjectKind kind, List<String> paths) {
        List<String> files = new ArrayList<>();
        for (String path : paths) {
            Path resolved = session.environment().resolve(path);
            if (!Files.isDirectory(resolved)) {
                files.add(path);
                continue;
            }
            try (Stream<Path> entries = Files.list(resolved)) {
                entries.map(entry -> entry.getFileName().toString())
                        .filter(name -> name.endsWith(".yaml") || name.endsWith(".yml"))
                        .sorted()
                        .limit(MAX_FILES)
                        .map(name -> path.replaceAll("/+$", "") + "/" + name)
                        .filter(file -> isOfKind(session, kind, file))
                        .forEach(files::add);
            } catch (IOException e) {
                throw new CliException(ExitCode.FAILED, "cannot read " + path + ": " + TextFiles.failureReason(e), "");
            }
        }
        return files;
    }

    private static boolean isOfKind(Session session, ObjectKind kind, String file) {
        Matcher schema = SCHEMA.matcher(TextFiles.read(session.environment().resolve(file), file));
        return !schema.find() || schema.group(1).equals(kind.singular());
    }
}
