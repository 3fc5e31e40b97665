package org.persimmonrelay.forward

import org.persimmonrelay.backend.RequestProfile
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.http.CallerExchange
import org.persimmonrelay.route.EngineShape
import org.persimmonrelay.route.Route
import org.persimmonrelay.route.Service
import org.persimmonrelay.route.Workspace

/**
 * A caller's request that the configuration allows, with what was decided for it on arrival. Its final answer is
 * due at [deadline].
 */
public class ForwardedCall(
    public val exchange: CallerExchange,
    public val attributes: CallAttributes,
    public val route: Route,
    public val service: Service,
    public val workspace: Workspace?,
    public val work: RequestProfile,
    public val configVersion: Long,
    public val deadline: Moment,
) {
    /** The priority that servers see; 0 is the most urgent. */
    public val priority: Int
        get() = workspace?.priority ?: route.priority

    public val engine: EngineShape?
        get() = service.engine
}
