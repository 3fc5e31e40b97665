package org.persimmonrelay.experiment.laws

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/**
 * Naive orders for comparison: whoever holds a wall-clock lease checks it and sends; what was not answered is
 * sent again under a new operation id; nothing is written down. It gives each change time to end before the next.
 */
internal class NaiveOrders(
    private val world: VirtualWorld,
    private val process: VirtualProcess,
    private val random: Random,
    private val send: suspend (number: Long, epoch: Long, attempt: Int) -> Boolean,
) {
    private val lease = WallClockLease(VirtualTable(world.network, process, world.table), process, world::newOperation)
    private var sequence = 0L

    fun start() {
        lease.start()
        process.scope.launch {
            while (true) {
                if (lease.isHeld()) order()
                delay(LONGEST_CHANGE + PAUSE * random.nextDouble())
            }
        }
    }

    private suspend fun order() {
        val number = lease.epoch * ORDERS_PER_EPOCH + sequence++
        repeat(ATTEMPTS) { attempt ->
            if (!lease.isHeld() || send(number, lease.epoch, attempt)) return
        }
    }

    private companion object {
        const val ORDERS_PER_EPOCH = 1_000_000L
        const val ATTEMPTS = 3
        val LONGEST_CHANGE = 4.seconds
        val PAUSE = 6.seconds
    }
}
