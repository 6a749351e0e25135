package org.tarragonarch.standin.soak;

import com.google.common.collect.ImmutableList;
import java.nio.file.Path;
import java.util.List;

/**
 * What one soak showed.
 *
 * @param seed its seed
 * @param folder where its logs are, if a promise was broken
 * @param sent how many jobs were sent
 * @param done how many were answered as done
 * @param refused how many were refused
 * @param violations the promises that were broken
 */
record SoakResult(long seed, Path folder, int sent, long done, long refused, ImmutableList<String> violations) {
    static SoakResult of(long seed, Path folder, List<SentJob> jobs, ImmutableList<String> broken) {
        long done = jobs.stream().filter(SentJob::isDone).count();
        long refused = jobs.stream().filter(SentJob::isRefused).count();
        return new SoakResult(seed, folder, jobs.size(), done, refused, broken);
    }

    String summary() {
        String counts = "seed " + seed + ": " + sent + " jobs, " + done + " done, " + refused + " refused";
        return violations.isEmpty()
                ? counts
                : counts + "; BROKEN, logs in " + folder + ":\n  " + String.join("\n  ", violations);
    }
}
