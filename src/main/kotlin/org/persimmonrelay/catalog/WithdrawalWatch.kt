package org.persimmonrelay.catalog

/** Whether requests under a key may go on: [WITHDRAWN] lets running ones finish, [CUT] ends them at once. */
public enum class KeyState { VALID, WITHDRAWN, CUT }

/** Tells the state of a key to requests that wait or run. Thread-safe and without waiting. */
public interface WithdrawalWatch {
    public fun stateOf(keyName: String): KeyState
}
