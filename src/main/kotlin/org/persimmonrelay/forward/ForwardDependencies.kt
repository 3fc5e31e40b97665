package org.persimmonrelay.forward

import org.persimmonrelay.backend.BackendDirectory
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.NearbyServers
import org.persimmonrelay.backend.NodeRetryBudget
import org.persimmonrelay.backend.ServerChooser
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.usage.UsageMeter

/** Collaborators of forwarding. [releaseHandle] frees the KV cache of an unused handle on its server. */
internal class ForwardDependencies(
    val directory: BackendDirectory,
    val nearbyServers: NearbyServers,
    val chooser: ServerChooser,
    val retryBudget: NodeRetryBudget,
    val requestGuard: RequestGuard,
    val codec: HeaderCodec,
    val errorResponses: ForwardErrorResponses,
    val usage: UsageMeter,
    val log: RequestLog,
    val clock: Clock,
    val releaseHandle: (BackendServer, KvHandle) -> Unit,
)
