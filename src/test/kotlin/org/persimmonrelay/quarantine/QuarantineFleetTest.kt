package org.persimmonrelay.quarantine

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Nodes that decide together which prompt part ends servers, without a network and in virtual time. */
class QuarantineFleetTest {
    // Guards against nodes that each learn only from their own requests, so that all servers end first (BUDGET).
    @Test
    fun `a deadly part that comes at any of 3, 100 or 300 nodes is refused by all of them`() =
        runTest(timeout = 2.minutes) {
            SIZES.forEach { nodes ->
                repeat(SEEDS) { seed ->
                    val fleet = QuarantineFleet(this, nodes, serverCount = servers(nodes), seed)
                    fleet.run(soundPerSecond = 40, deadlyPerSecond = 6, deadlyFrom = 3.seconds, until = 30.seconds)

                    fleet.assertContained("$nodes nodes, seed $seed")
                }
            }
        }

    @Test
    fun `lost updates, restarts and late joiners do not let the part through again`() = runTest(timeout = 2.minutes) {
        SIZES.forEach { nodes ->
            val fleet = QuarantineFleet(this, nodes, servers(nodes), seed = 7, lostUpdates = 0.3)
            backgroundScope.launch {
                delay(9.seconds)
                repeat(10) {
                    fleet.restartNode()
                    fleet.addNode()
                    delay(IN_TOUCH_AFTER_START)
                }
            }
            fleet.run(soundPerSecond = 40, deadlyPerSecond = 2, deadlyFrom = 3.seconds, until = 40.seconds)

            // A node knows the ledger a moment after its start; a request that comes before that may pass.
            val passed = fleet.sendsAfterContact()
            assertTrue(passed <= RESTARTS, "$passed requests passed at $nodes nodes")
            assertEquals(0, fleet.soundRefused, "$nodes nodes")
        }
    }

    // Guards against one request that comes again at any node and ends server after server (BUDGET).
    @Test
    fun `a request that ends servers is refused by all of 3, 100 or 300 nodes when it comes again`() =
        runTest(timeout = 2.minutes) {
            SIZES.forEach { nodes ->
                repeat(SEEDS) { seed ->
                    val fleet = QuarantineFleet(this, nodes, serverCount = 3, seed, isWholeRequestDeadly = true)
                    fleet.run(soundPerSecond = 20, deadlyPerSecond = 4, deadlyFrom = 3.seconds, until = 40.seconds)

                    val passed = fleet.sendsAfterContact(losses = 3)
                    assertTrue(passed <= MAX_PASSED, "$passed passed at $nodes nodes, seed $seed")
                    assertEquals(0, fleet.soundRefused, "$nodes nodes, seed $seed")
                }
            }
        }

    @Test
    fun `nor does it pass after restarts, lost updates, late joiners and a restored store`() =
        runTest(timeout = 2.minutes) {
            SIZES.forEach { nodes ->
                val fleet = QuarantineFleet(this, nodes, servers(nodes), seed = 9, 0.3, isWholeRequestDeadly = true)
                backgroundScope.launch {
                    delay(9.seconds)
                    repeat(RESTARTS) {
                        fleet.restartNode()
                        fleet.addNode()
                        if (it % 3 == 0) fleet.restoreStore()
                        delay(IN_TOUCH_AFTER_START)
                    }
                }
                fleet.run(soundPerSecond = 40, deadlyPerSecond = 2, deadlyFrom = 3.seconds, until = 40.seconds)

                val passed = fleet.sendsAfterContact(losses = 3)
                assertTrue(passed <= RESTARTS, "$passed requests passed at $nodes nodes")
                assertEquals(0, fleet.soundRefused, "$nodes nodes")
            }
        }

    @Test
    fun `what nodes write and the size of the row do not grow with the nodes`() = runTest(timeout = 2.minutes) {
        val writes = SIZES.map { nodes ->
            val fleet = QuarantineFleet(this, nodes, servers(nodes), seed = 3)
            fleet.run(soundPerSecond = 40, deadlyPerSecond = 6, deadlyFrom = 3.seconds, until = 30.seconds)
            fleet.table.writes
        }

        assertTrue(writes.all { it <= MAX_WRITES }, "$writes")
    }

    @Test
    fun `while the store is away each node still learns from its own requests, and tells the others afterwards`() =
        runTest(timeout = 2.minutes) {
            val fleet = QuarantineFleet(this, nodeCount = 3, serverCount = 8, seed = 5)
            fleet.table.faults.down = true
            fleet.run(soundPerSecond = 40, deadlyPerSecond = 6, deadlyFrom = 1.seconds, until = 20.seconds)
            val passedBefore = fleet.deadlySends.size
            assertTrue(passedBefore <= 3 * MAX_SENDS_ALONE, "$passedBefore sent")

            fleet.table.faults.down = false
            delay(8.seconds)
            fleet.addNode()
            delay(2.seconds)

            assertTrue(fleet.nodes.all { fleet.refuses(it) })
        }

    private fun QuarantineFleet.assertContained(what: String) {
        val passed = sendsAfterContact()
        assertTrue(passed <= MAX_PASSED, "$passed requests passed, ${lossTimes.size} servers ended: $what")
        assertTrue(soundRefused <= soundSent * MAX_SOUND_REFUSED, "$soundRefused of $soundSent sound refused: $what")
    }

    /** Requests sent to servers later than the time of contact after so many servers had ended. */
    private fun QuarantineFleet.sendsAfterContact(losses: Int = 5): Int {
        val last = lossTimes.getOrNull(losses - 1) ?: return 0
        return deadlySends.count { it > last + CONTACT.inWholeMilliseconds }
    }

    private fun servers(nodes: Int) = (nodes * 3 / 2).coerceIn(8, 300)

    private companion object {
        val SIZES = listOf(3, 100, 300)
        const val SEEDS = 4

        /** The time after which all nodes have to know what one of them has observed. */
        val CONTACT = 3.seconds

        /** More requests than this that reach servers afterwards break the users' rule. */
        const val MAX_PASSED = 3
        const val MAX_SOUND_REFUSED = 0.0
        const val RESTARTS = 10
        val IN_TOUCH_AFTER_START = 1_500.milliseconds
        const val MAX_WRITES = 60L

        /** Servers that a node sees end before it refuses the part, and the request under way at that time. */
        const val MAX_SENDS_ALONE = 6
    }
}
