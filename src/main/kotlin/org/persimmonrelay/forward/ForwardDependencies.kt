package org.persimmonrelay.forward

import org.persimmonrelay.backend.BackendDirectory
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.NearbyServers
import org.persimmonrelay.backend.NodeRetryBudget
import org.persimmonrelay.backend.ServerChooser
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.usage.UsageMeter

/** Collaborators of forwarding. [releaseHandle] frees the KV cache of an unused handle on its server. */
public class ForwardDependencies(
    public val directory: BackendDirectory,
    public val nearbyServers: NearbyServers,
    public val chooser: ServerChooser,
    public val retryBudget: NodeRetryBudget,
    public val codec: HeaderCodec,
    public val errorResponses: ForwardErrorResponses,
    public val usage: UsageMeter,
    public val log: RequestLog,
    public val clock: Clock,
    public val releaseHandle: (BackendServer, KvHandle) -> Unit,
)
