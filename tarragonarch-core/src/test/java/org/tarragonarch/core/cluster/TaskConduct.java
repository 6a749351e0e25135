package org.tarragonarch.core.cluster;

import java.util.Random;
import org.tarragonarch.model.task.EndKind;

/** What the runs of a task do. */
enum TaskConduct {
    /** Every run succeeds, unless its endpoint crashes. */
    SOUND {
        @Override
        EndKind end(Random random) {
            return EndKind.DONE;
        }
    },
    /** Every run fails. */
    FAILS {
        @Override
        EndKind end(Random random) {
            return EndKind.FAILED;
        }
    },
    /** About half of the runs fail. */
    FAILS_AT_TIMES {
        @Override
        EndKind end(Random random) {
            return random.nextBoolean() ? EndKind.FAILED : EndKind.DONE;
        }
    },
    /** Every run crashes its endpoint, unless it is stopped before. */
    CRASHES_ENDPOINTS {
        @Override
        EndKind end(Random random) {
            return EndKind.DONE;
        }
    };

    /** Returns how a run ends that is neither stopped nor crashed. */
    abstract EndKind end(Random random);
}
