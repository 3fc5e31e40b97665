package org.persimmonrelay.backend

import org.persimmonrelay.http.ServerAddress
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Region
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.route.EngineSpec
import org.persimmonrelay.route.ServiceId

/** Backend servers, their engine capacity and a node location for tests. */
object BackendServers {
    val ENGINES = ServiceId("planner-llm")
    val SHAPE = EngineSpec(slots = 48, kvCapacityTokens = 400_000)
    val PLACE =
        NodeLocation(
            FailureDomain("puget-a"),
            Region("puget"),
            mapOf(FailureDomain("puget-a") to Region("puget"), FailureDomain("inland-a") to Region("inland")),
        )

    fun server(
        id: String,
        stage: EngineStage? = EngineStage.DECODE,
        domain: String = "puget-a",
        draining: Boolean = false,
        slots: Int = 48,
    ) = BackendServer(
        instance = ServerInstance(ServerId(id), 1),
        service = ENGINES,
        address = ServerAddress("127.0.0.1", 1),
        domain = FailureDomain(domain),
        slots = slots,
        isDraining = draining,
        isSpot = false,
        stage = stage,
    )
}
