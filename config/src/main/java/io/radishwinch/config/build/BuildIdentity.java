package io.radishwinch.config.build;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;
import java.util.regex.Pattern;

/**
 * Identity of the build that a process runs, as {@code bin/build-id} gave it to the build: the commit, the commit and a
 * digest of changed sources, or a digest of the sources.
 *
 * @param value identity without spaces, or {@code unknown}
 */
public record BuildIdentity(String value) {

    /** Identity of a build that was given none. */
    public static final BuildIdentity UNKNOWN = new BuildIdentity("unknown");

    private static final System.Logger LOG = System.getLogger(BuildIdentity.class.getName());
    private static final String RESOURCE = "build.properties";
    private static final String KEY = "identity";
    private static final Pattern VALUE = Pattern.compile("[0-9A-Za-z][0-9A-Za-z.-]{0,63}");

    /** Opens the resource that holds the identity. */
    @FunctionalInterface
    interface Source {
        /** Returns the content, or null if there is no such resource. */
        InputStream open() throws IOException;
    }

    /** Reads the identity on first use, when the log of the process is set up. */
    private static final class OfProcess {
        private static final BuildIdentity IDENTITY = read(() -> BuildIdentity.class.getResourceAsStream(RESOURCE));
    }

    /** Returns the identity of the build that this process runs. */
    public static BuildIdentity ofProcess() {
        return OfProcess.IDENTITY;
    }

    /** Reads an identity. Returns {@link #UNKNOWN} and logs the reason if this is not possible. */
    static BuildIdentity read(Source source) {
        try (InputStream content = source.open()) {
            if (content == null) {
                throw new FileNotFoundException(RESOURCE + " is missing");
            }
            Properties properties = new Properties();
            properties.load(content);
            String value = properties.getProperty(KEY, "");
            if (!VALUE.matcher(value).matches()) {
                throw new IOException(RESOURCE + " has no valid identity");
            }
            return new BuildIdentity(value);
        } catch (IOException | IllegalArgumentException e) {
            LOG.log(System.Logger.Level.WARNING, "the identity of this build is unknown: {0}", e.getMessage());
            return UNKNOWN;
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
