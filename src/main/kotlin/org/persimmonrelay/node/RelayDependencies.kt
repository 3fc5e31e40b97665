package org.persimmonrelay.node

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

/** Reads what others write to the store. */
public interface RowReader {
    /** The configuration in [row]; null when the row holds none. Parts that can't be used are logged and left out. */
    public fun routeTable(row: FeedRow): RouteTable?

    /** The backend server in [row]; null when the row names no server to use. */
    public fun backendServer(row: FeedRow): BackendServer?
}

/** What a forwarding node needs of the platform that it runs on. Calls are made on the control thread. */
public class RelayDependencies(
    public val feed: RowFeed,
    public val reader: RowReader,
    public val table: TableService,
    public val usage: UsageReports?,
    public val scale: ScaleOrders?,
    public val headerCodec: HeaderCodec,
    public val engineReports: EngineReportProtocol,
    public val wallClock: SharedWallClock,
)
