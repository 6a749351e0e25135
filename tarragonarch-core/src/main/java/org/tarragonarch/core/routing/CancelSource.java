package org.tarragonarch.core.routing;

/** How a node learns of the cancellation of a job, from the source that counts least to the one that counts most. */
public enum CancelSource {
    /**
     * Another node repeats the cancellation, which this node may have missed. This node does not repeat it in turn:
     * nodes that restart one after the other would keep it forever.
     */
    REPETITION {
        @Override
        boolean replaces(CancelSource earlier) {
            return false;
        }
    },
    /** The node whose client has cancelled the job asks this node to cancel it. */
    PEER {
        @Override
        boolean replaces(CancelSource earlier) {
            return earlier != CLIENT;
        }
    },
    /** A client of this node has cancelled the job. */
    CLIENT {
        @Override
        boolean replaces(CancelSource earlier) {
            return true;
        }
    };

    /** Returns whether a cancellation from this source replaces a known one, and is kept for the full time from now. */
    abstract boolean replaces(CancelSource earlier);
}
