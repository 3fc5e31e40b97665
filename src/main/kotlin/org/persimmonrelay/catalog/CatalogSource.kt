package org.persimmonrelay.catalog

import kotlinx.coroutines.flow.StateFlow

/** Provides the current configuration to other packages. */
public interface CatalogSource {
    /** The newest view. Its version only increases. */
    public val view: StateFlow<CatalogView>
}
