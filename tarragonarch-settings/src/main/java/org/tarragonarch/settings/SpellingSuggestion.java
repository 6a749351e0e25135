package org.tarragonarch.settings;

import com.google.common.collect.Streams;
import java.util.Comparator;
import java.util.Optional;

/** Suggests the known word that a misspelt word was probably meant to be. */
final class SpellingSuggestion {
    private static final int LETTERS_PER_ERROR = 3;

    private SpellingSuggestion() {}

    /** Returns the closest candidate within one error for every three letters of the word, and at least one error. */
    static Optional<String> of(String word, Iterable<String> candidates) {
        return Streams.stream(candidates)
                .filter(candidate -> editDistance(word, candidate) <= Math.max(1, word.length() / LETTERS_PER_ERROR))
                .min(Comparator.comparingInt((String candidate) -> editDistance(word, candidate))
                        .thenComparing(Comparator.naturalOrder()));
    }

    /** Returns the least number of insertions, deletions, replacements and swaps of adjacent letters. */
    static int editDistance(String from, String to) {
        int[][] cost = new int[from.length() + 1][to.length() + 1];
        for (int i = 0; i <= from.length(); i++) {
            for (int j = 0; j <= to.length(); j++) {
                cost[i][j] = i == 0 ? j : j == 0 ? i : cheapest(cost, from, to, i, j);
            }
        }
        return cost[from.length()][to.length()];
    }

    private static int cheapest(int[][] cost, String from, String to, int i, int j) {
        int replaced = cost[i - 1][j - 1] + (from.charAt(i - 1) == to.charAt(j - 1) ? 0 : 1);
        int best = Math.min(replaced, 1 + Math.min(cost[i - 1][j], cost[i][j - 1]));
        boolean swapped =
                i > 1 && j > 1 && from.charAt(i - 1) == to.charAt(j - 2) && from.charAt(i - 2) == to.charAt(j - 1);
        return swapped ? Math.min(best, 1 + cost[i - 2][j - 2]) : best;
    }
}
