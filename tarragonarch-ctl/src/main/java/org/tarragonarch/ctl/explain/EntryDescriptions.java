package org.tarragonarch.ctl.explain;

/** Describes log entries in plain text. */
final class EntryDescriptions {
    private EntryDescriptions() {}

    static String describe(LogEntry entry) {
        return switch (entry.event()) {
            case JOB_ANSWERED -> answered(entry);
            case JOB_DECLINED -> declined(entry);
            case JOB_MOVED ->
                "offered it to %s of another failure domain, as its own could not start it at once"
                        .formatted(entry.text("holder"));
            case JOB_MOVED_BACK ->
                "received it back from %s, which could not start it at once".formatted(entry.text("holder"));
            case RUN_ENDED_BADLY -> badRun(entry);
            case CRASH_CONFIRMED ->
                "found that endpoint %s had crashed during run %d of task %s"
                        .formatted(entry.text("endpoint"), entry.number("run"), entry.text("task"));
            case TASK_ABANDONED ->
                "started task %s no more on the ground %s: %d of %d allowed failures, %d crashes, %d lost runs"
                        .formatted(
                                entry.text("task"),
                                entry.text("ground"),
                                entry.number("failures"),
                                entry.number("attempts"),
                                entry.number("crashes"),
                                entry.number("lost-runs"));
            case JOB_CANCELLED ->
                entry.text("here").equals("true")
                        ? "cancelled the job for its client"
                        : "passed the cancellation on to its peers";
            case QUEUE_UNKNOWN ->
                "had no queue for %s%s and answered %s; configuration %s from %s, confirmed %s ms before"
                        .formatted(
                                entry.text("host"),
                                entry.text("path"),
                                entry.text("result").equals("UNCERTAIN")
                                        ? "that the client should retry"
                                        : "that there is none",
                                entry.text("configuration"),
                                entry.text("source"),
                                entry.text("configuration-age-ms"));
            case DOMAIN_DRAINED ->
                "learned that failure domain %s is drained, from %s at version %s"
                        .formatted(entry.text("domain"), entry.text("source"), entry.text("store-version"));
            case SHARE_LIMITED -> "needed more than its allotment, " + describeShare(entry);
            case PEER_LOST ->
                "lost " + entry.text("peer")
                        + (entry.text("reason").equals("silent")
                                ? ", which sent no report in time"
                                : ", whose connections closed");
            default -> entry.event().word();
        };
    }

    private static String answered(LogEntry entry) {
        return "answered its client %s after %d ms of %d; %d task(s); the job was last with %s; configuration %s"
                .formatted(
                        entry.text("outcome"),
                        entry.number("after-ms"),
                        entry.number("deadline-ms"),
                        entry.number("tasks"),
                        entry.text("holder"),
                        entry.text("configuration"));
    }

    private static String declined(LogEntry entry) {
        return "declined it: %d of %d slots free, %d job(s) waiting, expected wait %d ms and run %d ms"
                        .formatted(
                                entry.number("free-places"),
                                entry.number("places"),
                                entry.number("waiting-jobs"),
                                entry.number("wait-ms"),
                                entry.number("expected-run-ms"))
                + ", %d ms left".formatted(entry.number("in-time-within-ms"))
                + (entry.hasShare() ? "; " + describeShare(entry) : "");
    }

    /** Describes the state of the share named in an entry. */
    static String describeShare(LogEntry entry) {
        return "share of priority %d of %s: %d of %d millicores allotted in use, %d waiting"
                .formatted(
                        entry.number("share-priority"),
                        entry.text("share-service"),
                        entry.number("share-used-millicores"),
                        entry.number("share-allotted-millicores"),
                        entry.number("share-waiting-millicores"));
    }

    private static String badRun(LogEntry entry) {
        return "reported that run %d of task %s ended as %s on endpoint %s"
                .formatted(entry.number("run"), entry.text("task"), entry.text("how"), entry.text("endpoint"));
    }
}
