package org.persimmonrelay.membership

import kotlinx.coroutines.flow.first
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.standin.VirtualMesh
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class EngineLoadGossipTest {
    private val mesh = VirtualMesh(seed = 5)
    private val engines = List(20) { ServerId("engine-$it") }
    private val north = Region("north")

    @AfterEach
    fun close() = mesh.close()

    @Test
    fun `each engine has one collector and every node of the region gets its load`() {
        val loadGossip = start()

        val collectors = engines.map { engine -> loadGossip.values.count { it.isCollectorOf(engine, north) } }
        publish(loadGossip)
        mesh.advance(8.seconds)

        assertEquals(List(engines.size) { 1 }, collectors)
        val expected = engines.associateWith(::report)
        loadGossip.values.forEach { assertEquals(expected, runBlocking { it.reports.first() }) }
    }

    @Test
    fun `engines of a killed collector are collected by another`() {
        val loadGossip = start()
        publish(loadGossip)
        mesh.advance(8.seconds)
        mesh.kill(NodeId("node-2"))
        val survivors = loadGossip - NodeId("node-2")
        mesh.advance(25.seconds)

        publish(survivors)
        mesh.advance(8.seconds)

        survivors.values.forEach { assertEquals(engines.toSet(), runBlocking { it.reports.first() }.keys) }
    }

    private fun start(): Map<NodeId, EngineLoadGossip> {
        val loadGossip =
            List(5) { mesh.start("node-$it", north.value) }
                .associate { it.place.address.node to EngineLoadGossip(it.components.membership, it.components.gossip) }
        mesh.advance(20.seconds)
        return loadGossip
    }

    private fun publish(loadGossip: Map<NodeId, EngineLoadGossip>) = loadGossip.values.forEach { node ->
        node.publish(engines.filter { node.isCollectorOf(it, north) }.map(::report))
    }

    private fun report(engine: ServerId): EngineLoadReport {
        val number = engine.value.removePrefix("engine-").toLong()
        return EngineLoadReport(
            server = engine,
            incarnation = "boot-$number",
            sequence = number + 1,
            role = EngineRole.MIXED,
            models = listOf("planner-llm"),
            queuedPromptTokens = number * 1_000,
            runningRequests = number.toInt(),
            remainingOutputTokens = number * 100,
            kvTokensUsed = number * 5_000,
            kvTokensTotal = 400_000,
            knownAttempts = number * 10,
            draining = number == 3L,
        )
    }
}
