package org.persimmonrelay.catalog

import kotlinx.coroutines.flow.StateFlow

/** Publishes the configuration in force on this node. */
public interface CatalogSource {
    public val view: StateFlow<CatalogView>
}
