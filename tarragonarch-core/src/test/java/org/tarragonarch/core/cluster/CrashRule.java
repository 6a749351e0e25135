package org.tarragonarch.core.cluster;

/** What must hold in a series of crashes. */
enum CrashRule {
    /** A job is answered in time, and as failed only after as many failed runs of a task as its queue allows. */
    ANSWERS,
    /** No task runs twice at the same time, and no endpoint is used beyond its capacity. */
    RUNS,
    /** No holder starts a task of which it has read as many failed runs as the queue allows, each at once. */
    ATTEMPTS,
    /** The same with the failed runs whose ends it has read late. */
    ATTEMPTS_READ_LATE,
    /** The same with the failed runs that an earlier holder has started. */
    ATTEMPTS_OF_ALL_HOLDERS,
    /** No holder starts a task that crashes its endpoints three more times after three crashes. */
    CRASHES,
    /** All holders together start such a task less than three more times after three crashes. */
    CRASHES_UNDER_ALL_HOLDERS,
    /** After the faults, a sound job under none of whose tasks two endpoints crashed is done. */
    SOUND_JOBS
}
