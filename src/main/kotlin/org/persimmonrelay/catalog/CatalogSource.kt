package org.persimmonrelay.catalog

import kotlinx.coroutines.flow.StateFlow

/** Where the rest of the node finds the configuration in force. */
public interface CatalogSource {
    /** The newest view; its version only grows. */
    public val view: StateFlow<CatalogView>
}
