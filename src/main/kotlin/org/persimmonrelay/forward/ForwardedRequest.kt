package org.persimmonrelay.forward

import org.persimmonrelay.backend.RequestProfile
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.http.CallerExchange
import org.persimmonrelay.route.ConfiguredWorkspace
import org.persimmonrelay.route.EngineSpec
import org.persimmonrelay.route.Route
import org.persimmonrelay.route.Service

/**
 * A caller's request that was admitted, with the route, service and workspace chosen on arrival. Its response has to be
 * complete at [deadline].
 */
public class ForwardedRequest(
    public val exchange: CallerExchange,
    public val attributes: RequestAttributes,
    public val route: Route,
    public val service: Service,
    public val workspace: ConfiguredWorkspace?,
    public val profile: RequestProfile,
    public val configVersion: Long,
    public val deadline: Moment,
) {
    /** Priority that servers are told; 0 is the most urgent. */
    public val priority: Int
        get() = workspace?.priority ?: route.priority

    public val engine: EngineSpec?
        get() = service.engine
}
