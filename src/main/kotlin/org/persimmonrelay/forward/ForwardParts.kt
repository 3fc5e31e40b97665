package org.persimmonrelay.forward

import org.persimmonrelay.backend.BackendDirectory
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.NodeRetryBudget
import org.persimmonrelay.backend.ServerChooser
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.usage.UsageMeter

/** What forwarding stands on. */
public class ForwardParts(
    public val directory: BackendDirectory,
    public val chooser: ServerChooser,
    public val allowance: NodeRetryBudget,
    public val dialect: HeaderCodec,
    public val answers: OwnAnswers,
    public val usage: UsageMeter,
    public val log: RequestLog,
    public val clock: Clock,
    public val freeHandle: (BackendServer, KvHandle) -> Unit,
)
