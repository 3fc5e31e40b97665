package org.persimmonrelay.forward

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.persimmonrelay.backend.BackendDirectory
import org.persimmonrelay.backend.NodeLocation
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.route.RouteTables
import org.persimmonrelay.settings.RelaySettings
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.usage.UsageMeter

/** What a [ForwardServer] is made of. */
public class ForwardServerParts(
    public val settings: RelaySettings,
    public val place: NodeLocation,
    public val tables: RouteTables,
    public val directory: BackendDirectory,
    public val dialect: CallDialect,
    public val reports: EngineReports,
    public val usage: UsageMeter,
    public val bounds: ForwardBounds,
    public val clock: Clock,
    public val events: EventSink,
    public val registry: PrometheusMeterRegistry,
)
