package org.persimmonrelay.experiment.laws

/** What goes wrong in a schedule, alone or in pairs. */
internal enum class FaultKind {
    /** A process dies and comes back later as a new incarnation. */
    KILL,

    /** A process stands still. */
    PAUSE,

    /** A process stands still between the check of its authority and the departure of the message. */
    PAUSE_AT_SEND,

    /** A process is cut off from the store, from receivers or from its peers. */
    PARTITION,

    /** Messages are late. */
    DELAY,

    /** Messages vanish. */
    LOSS,

    /** Requests arrive twice. */
    DUPLICATION,

    /** The store does not answer anyone. */
    STORE_OUTAGE,

    /** Answers of the store vanish after the write. */
    LOST_ANSWER,

    /** A receiver of orders crashes, also in the middle of a change. */
    RECEIVER_CRASH,
}
