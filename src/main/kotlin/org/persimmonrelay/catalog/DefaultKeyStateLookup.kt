package org.persimmonrelay.catalog

/** Looks up keys in the current view. */
public class DefaultKeyStateLookup(private val state: CatalogState) : KeyStateLookup {
    override fun stateOf(keyName: String): KeyState {
        val key = state.current.key(keyName) ?: return KeyState.WITHDRAWN
        return when {
            key.cutRunning -> KeyState.CUT
            key.withdrawn -> KeyState.WITHDRAWN
            else -> KeyState.VALID
        }
    }
}
