package org.tarragonarch.standin.soak;

import com.google.common.collect.ImmutableList;
import java.nio.file.Path;
import java.util.List;

/**
 * The result of one soak.
 *
 * @param seed the seed
 * @param folder the folder of the logs, which is kept only if there are violations
 * @param sent the number of jobs sent
 * @param done the number of jobs answered as done
 * @param refused the number of jobs refused by every attempt
 * @param violations a description of each violated guarantee
 */
record SoakResult(long seed, Path folder, int sent, long done, long refused, ImmutableList<String> violations) {
    static SoakResult of(long seed, Path folder, List<SentJob> jobs, ImmutableList<String> violations) {
        long done = jobs.stream().filter(SentJob::isDone).count();
        long refused = jobs.stream().filter(SentJob::isRefused).count();
        return new SoakResult(seed, folder, jobs.size(), done, refused, violations);
    }

    String summary() {
        String counts = "seed " + seed + ": " + sent + " jobs, " + done + " done, " + refused + " refused";
        return violations.isEmpty()
                ? counts
                : counts + "; VIOLATIONS, logs in " + folder + ":\n  " + String.join("\n  ", violations);
    }
}
