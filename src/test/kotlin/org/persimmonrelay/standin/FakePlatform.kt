package org.persimmonrelay.standin

import arrow.core.right
import org.persimmonrelay.platform.Host
import org.persimmonrelay.platform.HostList
import org.persimmonrelay.platform.OrderAnswer
import org.persimmonrelay.platform.ServerOrders
import org.persimmonrelay.platform.UsageReports
import org.persimmonrelay.platform.WeightStore

/** An in-memory platform. Its interfaces other than the table and the object store accept every call. */
internal class FakePlatform {
    val table = StandInTable()
    val objects = StandInObjectStore()
    val platform =
        StandInPlatform(
            table = table,
            objects = objects,
            orders = ServerOrders { OrderAnswer.Accepted.right() },
            usage = UsageReports { _, _, _ -> Unit.right() },
            hosts = HostList { emptyList<Host>().right() },
            weights = WeightStore { 1.right() },
        )
}
