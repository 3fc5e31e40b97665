package org.persimmonrelay.node

import org.persimmonrelay.clock.Clock
import org.persimmonrelay.platform.HostList
import org.persimmonrelay.platform.ObjectStore
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.ServerOrders
import org.persimmonrelay.platform.TableService
import org.persimmonrelay.platform.UsageReports
import org.persimmonrelay.platform.WeightStore
import org.persimmonrelay.platform.http.HttpHostList
import org.persimmonrelay.platform.http.HttpObjectStore
import org.persimmonrelay.platform.http.HttpServerOrders
import org.persimmonrelay.platform.http.HttpTableService
import org.persimmonrelay.platform.http.HttpUsageReports
import org.persimmonrelay.platform.http.HttpWeightStore
import org.persimmonrelay.platform.http.PlatformHttpClient
import org.persimmonrelay.settings.PlatformSettings
import kotlin.random.Random

/** Clients for the platform's HTTP interfaces, sharing one HTTP client. */
public class PlatformClients(settings: PlatformSettings, clock: Clock, random: Random) : AutoCloseable {
    private val http = PlatformHttpClient(clock)

    public val table: TableService = HttpTableService(http, settings.table)
    public val reliableTable: ReliableTable = ReliableTable(table, clock, random)
    public val objects: ObjectStore = HttpObjectStore(http, settings.objects)
    public val orders: ServerOrders = HttpServerOrders(http, settings.orders)
    public val usage: UsageReports = HttpUsageReports(http, settings.usage)
    public val hosts: HostList = HttpHostList(http, settings.hosts)
    public val weights: WeightStore = HttpWeightStore(http, settings.weights)

    override fun close(): Unit = http.close()
}
