package io.radishwinch.config;

import io.vavr.control.Either;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;

/**
 * Reads a YAML document field by field and collects all errors, so that its author can correct them in one pass.
 *
 * <p>Size, nesting depth and aliases are limited, so that a malicious document uses bounded time and memory.
 */
public final class YamlDocument {

    /** Maximum size of a document, in code points. */
    public static final int MAX_CODE_POINTS = 1 << 20;

    private static final int MAX_NESTING = 20;
    private static final int MAX_ERRORS = 100;

    private final String file;
    private final List<ConfigError> errors = new ArrayList<>();

    private YamlDocument(String file) {
        this.file = file;
    }

    /**
     * Reads a document whose root is a mapping.
     *
     * @param file name for error messages
     * @param text content of the document
     * @param reader reads the fields and returns the value; if it reports an error, its value is discarded
     * @return the value, or a non-empty list of errors in document order
     */
    public static <T> Either<List<ConfigError>, T> read(String file, String text, Function<YamlMapping, T> reader) {
        YamlDocument document = new YamlDocument(file);
        Node root = document.compose(text);
        if (root == null) {
            return Either.left(document.sortedErrors());
        }
        YamlMapping mapping = new YamlMapping(document, "$", (MappingNode) root);
        T value = reader.apply(mapping);
        mapping.rejectUnreadFields();
        return document.errors.isEmpty() ? Either.right(value) : Either.left(document.sortedErrors());
    }

    void addError(Node node, String path, String message, String hint) {
        if (errors.size() < MAX_ERRORS) {
            int line = node.getStartMark() == null ? 1 : node.getStartMark().getLine() + 1;
            errors.add(new ConfigError(file, line, path, message, hint));
        }
    }

    private List<ConfigError> sortedErrors() {
        errors.sort(Comparator.comparingInt(ConfigError::line).thenComparing(ConfigError::path));
        return List.copyOf(errors);
    }

    private Node compose(String text) {
        LoaderOptions options = new LoaderOptions();
        options.setCodePointLimit(MAX_CODE_POINTS);
        options.setNestingDepthLimit(MAX_NESTING);
        options.setMaxAliasesForCollections(0);
        options.setAllowDuplicateKeys(false);
        try {
            Node root = new Yaml(options).compose(new StringReader(text));
            if (root instanceof MappingNode) {
                return root;
            }
            errors.add(new ConfigError(
                    file,
                    1,
                    "$",
                    "expected a mapping at the root of the document",
                    "write one 'field: value' per line"));
        } catch (MarkedYAMLException e) {
            int line = e.getProblemMark() == null ? 1 : e.getProblemMark().getLine() + 1;
            errors.add(new ConfigError(file, line, "$", "not valid YAML: " + e.getProblem(), ""));
        } catch (YAMLException e) {
            errors.add(new ConfigError(file, 1, "$", "not valid YAML: " + e.getMessage(), ""));
        }
        return null;
    }
}
