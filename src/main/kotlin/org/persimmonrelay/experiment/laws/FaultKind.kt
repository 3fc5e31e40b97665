package org.persimmonrelay.experiment.laws

/** Kinds of faults; a schedule has one or two of them. */
internal enum class FaultKind {
    /** A process is killed and restarts later as a new incarnation. */
    KILL,

    /** A process is paused. */
    PAUSE,

    /** A process is paused after it has checked that it holds the lease and before the message is sent. */
    PAUSE_AT_SEND,

    /** A process is cut off from the store, from receivers or from its peers. */
    PARTITION,

    /** Messages are delayed. */
    DELAY,

    /** Messages are lost. */
    LOSS,

    /** Some requests are delivered twice. */
    DUPLICATION,

    /** The store is unavailable to all processes. */
    STORE_OUTAGE,

    /** Responses of the store are lost after the write was made. */
    LOST_ANSWER,

    /** A receiver of orders crashes, possibly in the middle of a change. */
    RECEIVER_CRASH,
}
