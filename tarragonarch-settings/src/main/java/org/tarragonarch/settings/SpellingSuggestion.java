package org.tarragonarch.settings;

import com.google.common.collect.Streams;
import java.util.Comparator;
import java.util.Optional;

/** Finds the word that a mistyped one was likely meant to be. */
final class SpellingSuggestion {
    private static final int LETTERS_PER_SLIP = 3;

    private SpellingSuggestion() {}

    /** Returns the candidate nearest to the word, if one is near enough; about a slip in three letters. */
    static Optional<String> of(String word, Iterable<String> candidates) {
        return Streams.stream(candidates)
                .filter(candidate -> editDistance(word, candidate) <= Math.max(1, word.length() / LETTERS_PER_SLIP))
                .min(Comparator.comparingInt((String candidate) -> editDistance(word, candidate))
                        .thenComparing(Comparator.naturalOrder()));
    }

    /** Returns how many letters must be added, dropped, replaced or swapped with their neighbour. */
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
