package org.persimmonrelay.catalog

/** State of a key after a request with it was admitted. */
public enum class KeyState {
    /** New and queued requests may run. */
    VALID,

    /** New and queued requests must not run; running requests may finish. */
    WITHDRAWN,

    /** Running requests are aborted as well. */
    CUT,
}

/** Looks up the state of the keys of queued and running requests. */
public interface KeyStateLookup {
    /** The current state of the key with [keyName]; a deleted or unknown key counts as withdrawn. */
    public fun stateOf(keyName: String): KeyState
}
