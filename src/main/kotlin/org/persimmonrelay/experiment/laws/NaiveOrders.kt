package org.persimmonrelay.experiment.laws

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/**
 * Naive orders for comparison: the holder of a wall-clock lease checks the lease and sends. An order without a response
 * is sent again with a new operation id, and no intent is stored. Orders are far enough apart for a change to end.
 */
internal class NaiveOrders(
    private val world: VirtualWorld,
    private val process: VirtualProcess,
    private val random: Random,
    private val send: suspend (number: Long, epoch: Long, attempt: Int) -> Boolean,
) {
    private val lease = WallClockLease(VirtualTable(world.network, process, world.table), process, world::newOperation)
    private var nextNumber = 0L

    fun start() {
        lease.start()
        process.scope.launch {
            while (true) {
                if (lease.isHeld()) sendOrder()
                delay(MAX_CHANGE_TIME + MAX_PAUSE * random.nextDouble())
            }
        }
    }

    private suspend fun sendOrder() {
        val number = lease.epoch * ORDERS_PER_EPOCH + nextNumber++
        repeat(ATTEMPTS) { attempt ->
            if (!lease.isHeld() || send(number, lease.epoch, attempt)) return
        }
    }

    private companion object {
        const val ORDERS_PER_EPOCH = 1_000_000L
        const val ATTEMPTS = 3
        val MAX_CHANGE_TIME = 4.seconds
        val MAX_PAUSE = 6.seconds
    }
}
