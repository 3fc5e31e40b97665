package org.persimmonrelay.catalog

/** What has become of a key since a request was let in with it. */
public enum class KeyState {
    /** New and queued requests may run. */
    VALID,

    /** No new or queued request may run; an answer that is already running may finish. */
    WITHDRAWN,

    /** Running answers are cut too. */
    CUT,
}

/** Lets queued and running requests see that their key was withdrawn. */
public interface KeyStateLookup {
    /** The present state of the key called [keyName]; a key that was deleted counts as withdrawn. */
    public fun stateOf(keyName: String): KeyState
}
