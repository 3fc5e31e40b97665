package org.persimmonrelay.catalog

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestCoroutineScheduler
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import kotlin.time.Duration.Companion.milliseconds

/** A clock that follows the virtual time of a coroutine test. */
@OptIn(ExperimentalCoroutinesApi::class)
class TestSchedulerClock(private val scheduler: TestCoroutineScheduler) : Clock {
    override fun now(): Moment = Moment.ZERO + scheduler.currentTime.milliseconds

    override fun wallMillis(): Long = scheduler.currentTime
}
