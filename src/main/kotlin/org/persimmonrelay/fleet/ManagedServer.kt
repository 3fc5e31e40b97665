package org.persimmonrelay.fleet

import org.persimmonrelay.engine.EngineAddress
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.ServerId

/** A backend server as the fleet's orders see it. */
public data class ManagedServer(
    val id: ServerId,
    val address: EngineAddress,
    val domain: FailureDomain,
    val checksFencing: Boolean,
)
