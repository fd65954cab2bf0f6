package io.radishwinch.cli;

import java.util.ArrayList;
import java.util.List;

/** Computes a line diff of two texts from their longest common subsequence (Wagner and Fischer, 1974). */
final class LineDiff {

    /** Larger texts are shown as fully removed and added: the table's size is the product of both line counts. */
    private static final int MAX_LINES = 3_000;

    private LineDiff() {}

    /**
     * Returns all lines; the first character marks common lines with a space, removed with a minus and added with a
     * plus.
     */
    static List<String> of(String before, String after) {
        List<String> a = before.lines().toList();
        List<String> b = after.lines().toList();
        List<String> out = new ArrayList<>();
        if (a.size() > MAX_LINES || b.size() > MAX_LINES) {
            a.forEach(line -> out.add("- " + line));
            b.forEach(line -> out.add("+ " + line));
            return out;
        }
        int[][] common = new int[a.size() + 1][b.size() + 1];
        for (int i = a.size() - 1; i >= 0; i--) {
            for (int j = b.size() - 1; j >= 0; j--) {
                common[i][j] = a.get(i).equals(b.get(j))
                        ? common[i + 1][j + 1] + 1
                        : Math.max(common[i + 1][j], common[i][j + 1]);
            }
        }
        int i = 0;
        int j = 0;
        while (i < a.size() || j < b.size()) {
            if (i < a.size() && j < b.size() && a.get(i).equals(b.get(j))) {
                out.add("  " + a.get(i++));
                j++;
            } else if (j == b.size() || (i < a.size() && common[i + 1][j] >= common[i][j + 1])) {
                out.add("- " + a.get(i++));
            } else {
                out.add("+ " + b.get(j++));
            }
        }
        return out;
    }
}
