package io.radishwinch.config.build;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a build that is taken for another one, because its identity hides changes or depends on its place. */
class BuildIdScriptTest {
    private static final String SOURCE = "core/src/main/java/A.java";

    @TempDir
    Path directory;

    private Path checkout;

    @BeforeEach
    void copySources() throws Exception {
        checkout = copy("checkout");
    }

    private Path copy(String name) throws IOException {
        Path script = Path.of("bin/build-id");
        Path source = Files.exists(script) ? script : Path.of("..").resolve(script);
        Path copy = directory.resolve(name);
        Files.createDirectories(copy.resolve(SOURCE).getParent());
        Files.createDirectories(copy.resolve("bin"));
        Files.copy(source, copy.resolve("bin/build-id"));
        Files.writeString(copy.resolve("pom.xml"), "<project/>\n");
        Files.writeString(copy.resolve("core/pom.xml"), "<project/>\n");
        Files.writeString(copy.resolve(SOURCE), "class A {}\n");
        return copy;
    }

    private static String run(Path directory, String... command) throws Exception {
        Process process = new ProcessBuilder(command)
                .directory(directory.toFile())
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        process.waitFor();
        return output;
    }

    private static String identity(Path copy) throws Exception {
        return run(copy.getParent(), copy.resolve("bin/build-id").toString());
    }

    private static void git(Path repository, String... arguments) throws Exception {
        List<String> command = new ArrayList<>(List.of(
                "git", "-c", "user.name=t", "-c", "user.email=t@example.invalid", "-c", "commit.gpgsign=false"));
        command.addAll(List.of(arguments));
        run(repository, command.toArray(String[]::new));
    }

    private static boolean hasGit() {
        try {
            return !run(Path.of("."), "git", "--version").isEmpty();
        } catch (Exception e) {
            return false;
        }
    }

    @Test
    void sourcesWithoutHistoryHaveADigestThatDependsOnThemOnly() throws Exception {
        String identity = identity(checkout);
        assertThat(identity).matches("src-[0-9a-f]{12}");
        Path other = copy("other");
        Files.writeString(other.resolve("README.md"), "text\n");
        Files.createDirectories(other.resolve("target/core/src/main"));
        Files.writeString(other.resolve("target/core/src/main/B.java"), "class B {}\n");
        assertThat(identity(other)).isEqualTo(identity);
        Files.writeString(other.resolve(SOURCE), "class A { }\n");
        assertThat(identity(other)).matches("src-[0-9a-f]{12}").isNotEqualTo(identity);
    }

    @Test
    void aDirectoryWithoutSourcesIsUnknown() throws Exception {
        Files.delete(checkout.resolve("pom.xml"));
        assertThat(identity(checkout)).isEqualTo("unknown");
    }

    @Test
    void aCommitIsNamedAndChangesAreMarked() throws Exception {
        assumeTrue(hasGit(), "git is not installed");
        String digest = identity(checkout).substring("src-".length());
        git(checkout, "init", "-q");
        assertThat(identity(checkout)).isEqualTo("src-" + digest);
        git(checkout, "add", "-A");
        git(checkout, "commit", "-q", "-m", "first");
        String commit = run(checkout, "git", "rev-parse", "HEAD").substring(0, 12);
        assertThat(identity(checkout)).isEqualTo(commit);
        Files.writeString(checkout.resolve("core/src/main/java/B.java"), "class B {}\n");
        assertThat(identity(checkout)).matches(commit + "-dirty-[0-9a-f]{12}").doesNotContain(digest);
    }

    @Test
    void aCopyInsideOfAnotherRepositoryDoesNotTakeItsCommit() throws Exception {
        assumeTrue(hasGit(), "git is not installed");
        git(directory, "init", "-q");
        git(directory, "add", "-A");
        git(directory, "commit", "-q", "-m", "first");
        assertThat(identity(checkout)).matches("src-[0-9a-f]{12}");
    }
}
