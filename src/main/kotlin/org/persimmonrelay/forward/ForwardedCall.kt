package org.persimmonrelay.forward

import org.persimmonrelay.backend.RequestProfile
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.http.CallerExchange
import org.persimmonrelay.route.ConfiguredWorkspace
import org.persimmonrelay.route.EngineSpec
import org.persimmonrelay.route.Route
import org.persimmonrelay.route.Service

/**
 * A caller's request that the configuration allows, with what was decided for it on arrival. Its final answer is
 * due at [deadline].
 */
public class ForwardedCall(
    public val exchange: CallerExchange,
    public val attributes: RequestAttributes,
    public val route: Route,
    public val service: Service,
    public val workspace: ConfiguredWorkspace?,
    public val work: RequestProfile,
    public val configVersion: Long,
    public val deadline: Moment,
) {
    /** The priority that servers see; 0 is the most urgent. */
    public val priority: Int
        get() = workspace?.priority ?: route.priority

    public val engine: EngineSpec?
        get() = service.engine
}
