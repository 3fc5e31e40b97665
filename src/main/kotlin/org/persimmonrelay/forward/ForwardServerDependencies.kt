package org.persimmonrelay.forward

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.persimmonrelay.backend.BackendDirectory
import org.persimmonrelay.backend.NodeLocation
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.quarantine.RequestQuarantine
import org.persimmonrelay.route.ActiveRouteTable
import org.persimmonrelay.settings.RelaySettings
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.usage.UsageMeter

/** Collaborators and settings of a [ForwardServer]. The wall-clock time of [clock] is shared by all nodes. */
public class ForwardServerDependencies(
    public val settings: RelaySettings,
    public val routeTable: ActiveRouteTable,
    public val directory: BackendDirectory,
    public val headerCodec: HeaderCodec,
    public val engineReports: EngineReportProtocol,
    public val usage: UsageMeter,
    public val quarantine: RequestQuarantine,
    public val limits: ForwardLimits,
    public val clock: Clock,
    public val events: EventSink,
    public val registry: PrometheusMeterRegistry,
) {
    /** Where the node runs. */
    public val place: NodeLocation = NodeLocation(settings.domain, settings.region, settings.regions)
}
