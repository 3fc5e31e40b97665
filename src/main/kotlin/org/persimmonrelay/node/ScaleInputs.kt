package org.persimmonrelay.node

import org.persimmonrelay.backend.BackendDirectory
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Region
import org.persimmonrelay.route.ActiveRouteTable

/**
 * What the numbers of servers are decided by: the services of [tables], their servers in [directory], the region of
 * each failure domain, and the [demand] of callers.
 */
internal class ScaleInputs(
    val tables: ActiveRouteTable,
    val directory: BackendDirectory,
    val regions: Map<FailureDomain, Region>,
    val demand: DemandSource,
)
