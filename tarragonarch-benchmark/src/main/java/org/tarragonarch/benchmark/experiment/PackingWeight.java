package org.tarragonarch.benchmark.experiment;

/**
 * What part of an endpoint a task counts for, such that tasks which fit together never count for more than the whole.
 *
 * <p>By room alone a task of 14 cores counts for 0.44 of an endpoint of 32, though only two of them ever fit; a rounded
 * weight says 0.5. These are the dual feasible functions of bin packing: for each number of parts, a task that is not a
 * multiple of 1/(parts + 1) of the endpoint counts for the number of those it exceeds, divided by the parts.
 */
final class PackingWeight {
    /** No more parts are tried: beyond that the rounded weights hardly differ from the room. */
    private static final int MOST_PARTS = 6;

    /** Rooms are whole numbers of thousandths of a core; this is far below one of them. */
    private static final double ROUNDING = 1e-9;

    private final int parts;

    private PackingWeight(int parts) {
        this.parts = parts;
    }

    /** Returns the weight by room alone. */
    static PackingWeight byRoom() {
        return new PackingWeight(0);
    }

    /** Returns the weight under which tasks of these rooms count for most of an endpoint, each by its run time. */
    static PackingWeight heaviest(long endpointMilliCores, Iterable<DrawnJob> jobs) {
        PackingWeight best = byRoom();
        double most = best.sum(endpointMilliCores, jobs);
        for (int parts = 1; parts <= MOST_PARTS; parts++) {
            PackingWeight tried = new PackingWeight(parts);
            double sum = tried.sum(endpointMilliCores, jobs);
            if (sum > most) {
                most = sum;
                best = tried;
            }
        }
        return best;
    }

    /** Returns what part of the endpoint a task counts for. */
    double of(long taskMilliCores, long endpointMilliCores) {
        double room = (double) taskMilliCores / endpointMilliCores;
        if (parts == 0) {
            return room;
        }
        double pieces = room * (parts + 1);
        boolean wholePieces = Math.abs(pieces - Math.rint(pieces)) < ROUNDING;
        return wholePieces ? room : Math.floor(pieces) / parts;
    }

    private double sum(long endpointMilliCores, Iterable<DrawnJob> jobs) {
        double sum = 0;
        for (DrawnJob job : jobs) {
            double weight = of(job.request().step().perTask().milliCores(), endpointMilliCores);
            for (int task = 0; task < job.width(); task++) {
                sum += weight * job.runMillis(task);
            }
        }
        return sum;
    }
}
