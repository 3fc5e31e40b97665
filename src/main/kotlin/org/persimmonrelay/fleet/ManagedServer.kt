package org.persimmonrelay.fleet

import org.persimmonrelay.engine.EngineAddress
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.ServerId

/** A backend server to which orders refer. [checksFencing] is true if its engine rejects orders of older epochs. */
public data class ManagedServer(
    val id: ServerId,
    val address: EngineAddress,
    val domain: FailureDomain,
    val checksFencing: Boolean,
)
