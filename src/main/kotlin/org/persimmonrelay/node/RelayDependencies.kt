package org.persimmonrelay.node

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.clock.SharedWallClock
import org.persimmonrelay.forward.EngineReportProtocol
import org.persimmonrelay.forward.HeaderCodec
import org.persimmonrelay.platform.FeedRow
import org.persimmonrelay.platform.RowFeed
import org.persimmonrelay.platform.TableService
import org.persimmonrelay.platform.UsageReports
import org.persimmonrelay.route.RouteTable
import org.persimmonrelay.scale.ScaleOrders

/** Decodes the store's rows of the configuration and of backend servers. */
public interface RowReader {
    /** The route table in [row]; null when the row holds none. Invalid entries are logged and omitted. */
    public fun routeTable(row: FeedRow): RouteTable?

    /** The backend server in [row]; null when the row holds no usable server. */
    public fun backendServer(row: FeedRow): BackendServer?

    /** The value of [row], which a node wrote through the table service; null when it was removed or is invalid. */
    public fun ownValue(row: FeedRow): String?
}

/** Platform services that a forwarding node uses, called on the control thread, and the [registry] of its metrics. */
public class RelayDependencies(
    public val feed: RowFeed,
    public val reader: RowReader,
    public val table: TableService,
    public val usage: UsageReports?,
    public val scale: ScaleOrders?,
    public val headerCodec: HeaderCodec,
    public val engineReports: EngineReportProtocol,
    public val wallClock: SharedWallClock,
    public val registry: PrometheusMeterRegistry,
)
